package steer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/steer"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// store is a platform's store with faults.
type store struct {
	lock    sync.Mutex
	version plat.Version
	oldest  plat.Version // changes before are forgotten
	objects map[plat.Key]plat.Object
	changes []plat.Change
	down    bool
	calls   int
}

func newStore() *store { return &store{version: 1, objects: map[plat.Key]plat.Object{}} }

func (s *store) set(key plat.Key, value any) {
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	s.lock.Lock()
	defer s.lock.Unlock()
	s.write(key, raw)
}

func (s *store) write(key plat.Key, raw []byte) plat.Version {
	s.version++
	o := plat.Object{Key: key, Version: s.version, Value: raw}
	s.objects[key] = o
	s.changes = append(s.changes, plat.Change{Object: o, At: s.version})
	return s.version
}

func (s *store) remove(key plat.Key) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.version++
	delete(s.objects, key)
	s.changes = append(s.changes, plat.Change{Object: plat.Object{Key: key}, At: s.version})
}

func (s *store) fail(down bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = down
}

func (s *store) forget() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.oldest = s.version
	s.changes = nil
}

func (s *store) ListAt(_ context.Context, _ plat.Class, prefix plat.Key) ([]plat.Object, plat.Version, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.calls++
	if s.down {
		return nil, 0, plat.ErrUnavailable
	}
	var out []plat.Object
	for k, o := range s.objects {
		if strings.HasPrefix(string(k), string(prefix)) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.version, nil
}

func (s *store) Watch(ctx context.Context, _ plat.Class, prefix plat.Key, after plat.Version, wait time.Duration) ([]plat.Change, plat.Version, error) {
	end := time.Now().Add(wait)
	s.lock.Lock()
	s.calls++
	s.lock.Unlock()
	for {
		s.lock.Lock()
		if s.down {
			s.lock.Unlock()
			return nil, 0, plat.ErrUnavailable
		}
		if after < s.oldest {
			s.lock.Unlock()
			return nil, 0, plat.ErrCompacted
		}
		var out []plat.Change
		for _, c := range s.changes {
			if c.At > after && strings.HasPrefix(string(c.Object.Key), string(prefix)) {
				out = append(out, c)
			}
		}
		upto := s.version
		s.lock.Unlock()
		if len(out) > 0 || time.Now().After(end) {
			return out, upto, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (s *store) Put(_ context.Context, _ plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.calls++
	if s.down {
		return 0, plat.ErrUnavailable
	}
	if s.objects[key].Version != expect {
		return 0, plat.ErrConflict
	}
	return s.write(key, value), nil
}

// kinds reads the objects of the tests, which are plain JSON.
type kinds struct{}

type wireRollout struct {
	Target string
	Stage  world.Stage
}

func (kinds) Prefixes() steer.Prefixes {
	return steer.Prefixes{Endpoints: "e/", Configs: "c/", Rollouts: "r/", Zones: "z/"}
}

func (kinds) Name(key plat.Key) string { return string(key[strings.IndexByte(string(key), '/')+1:]) }

func (k kinds) Announcement(o plat.Object) (world.Announcement, error) {
	var e world.Endpoint
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return world.Announcement{}, err
	}
	e.ID = ident.EndpointID(k.Name(o.Key))
	return world.Announcement{Endpoint: e}, nil
}

func (kinds) Config(o plat.Object) (*paths.Config, bool, error) {
	var generation ident.Generation
	err := json.Unmarshal(o.Value, &generation)
	r := &paths.Route{ID: "route", Split: []paths.WeightedService{{Service: "s", Weight: 1}}}
	return paths.New(generation, []*paths.Route{r}, []*paths.Service{{ID: "s"}}, nil, paths.Limits{}), err == nil, err
}

func (k kinds) Rollout(o plat.Object) (world.Rollout, error) {
	var w wireRollout
	err := json.Unmarshal(o.Value, &w)
	return world.Rollout{
		Service: ident.ServiceID(k.Name(o.Key)), Target: ident.VersionID(w.Target), Stage: w.Stage,
		Duration: time.Minute, Revision: uint64(o.Version), OrderID: w.Target,
	}, err
}

func (kinds) Spec(o plat.Object) (json.RawMessage, error) { return o.Value, nil }

func (kinds) Progress(r world.Rollout, stage world.Stage) (plat.Key, []byte, error) {
	raw, err := json.Marshal(wireRollout{Target: string(r.Target), Stage: stage})
	return plat.Key("r/" + string(r.Service)), raw, err
}

// fleet starts routers that share a store. Each has a store of its own face, so
// that one can be cut off.
type face struct {
	*store
	lock sync.Mutex
	cut  bool
}

func (f *face) isCut() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.cut
}

func (f *face) setCut(cut bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.cut = cut
}

func (f *face) ListAt(ctx context.Context, c plat.Class, prefix plat.Key) ([]plat.Object, plat.Version, error) {
	if f.isCut() {
		return nil, 0, plat.ErrUnavailable
	}
	return f.store.ListAt(ctx, c, prefix)
}

func (f *face) Watch(ctx context.Context, c plat.Class, prefix plat.Key, after plat.Version, wait time.Duration) ([]plat.Change, plat.Version, error) {
	if f.isCut() {
		return nil, 0, plat.ErrUnavailable
	}
	changes, upto, err := f.store.Watch(ctx, c, prefix, after, wait)
	if f.isCut() {
		return nil, 0, plat.ErrUnavailable
	}
	return changes, upto, err
}

type router struct {
	*steer.Steer
	face *face
	halt func()
}

func begin(s *store, n int) []*router {
	out := make([]*router, n)
	for i := range out {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		pace := steer.Pace{Wait: 100 * time.Millisecond, Pause: 20 * time.Millisecond}
		f := &face{store: s}
		t, err := steer.New(steer.Settings{
			Router: ident.RouterID(fmt.Sprint("router-", i)), Feed: l.Addr().String(), Lapse: 300 * time.Millisecond,
			Endpoints: pace, Configs: pace, Orders: pace, Exposure: 0.15, Session: time.Second,
		}, kinds{}, f, zap.NewNop(), time.Now, func() {})
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = t.Hub().Serve(l) }() // ends with Stop
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			t.Run(ctx)
		}()
		out[i] = &router{Steer: t, face: f, halt: sync.OnceFunc(func() {
			cancel()
			t.Hub().Stop()
			<-done
		})}
		DeferCleanup(out[i].halt)
	}
	return out
}

func (r *router) generation() ident.Generation {
	if c := r.View().Config; c != nil {
		return c.Generation
	}
	return 0
}

func (r *router) count() int { return len(r.View().Endpoints("s")) }

func sound() *store {
	s := newStore()
	s.set("c/main", 1)
	for i := range 3 {
		s.set(plat.Key(fmt.Sprint("e/e", i)), world.Endpoint{Service: "s", Address: "a:1", Zone: "z", Version: "v1", Slots: 4})
	}
	return s
}

var _ = Describe("Steer", func() {
	It("brings every router to the store's state, and few of them read it", func() {
		s := sound()
		routers := begin(s, 5)
		for _, r := range routers {
			Eventually(func() bool { return r.View().Ready }, "5s").Should(BeTrue())
			Eventually(r.count).Should(Equal(3))
		}
		Eventually(func() int { return routers[4].Routers() }, "5s").Should(Equal(5))
		time.Sleep(1500 * time.Millisecond)
		s.lock.Lock()
		before := s.calls
		s.lock.Unlock()
		time.Sleep(time.Second)
		s.lock.Lock()
		calls := s.calls - before
		s.lock.Unlock()
		Expect(calls).To(BeNumerically("<", 80)) // of one router: four kinds each 100 ms, and the list of routers
		s.set("c/main", 2)
		s.remove("e/e0")
		for _, r := range routers {
			Eventually(r.generation, "1s").Should(Equal(ident.Generation(2)))
			Eventually(r.count, "1s").Should(Equal(2))
		}
	})

	It("does not miss a change when the router that reads is killed", func() {
		s := sound()
		routers := begin(s, 4)
		for _, r := range routers {
			Eventually(func() bool { return r.View().Ready }, "5s").Should(BeTrue())
		}
		time.Sleep(time.Second)
		for len(routers) > 1 {
			routers[0].halt()
			routers = routers[1:]
			s.set("c/main", 10-len(routers))
			for _, r := range routers {
				Eventually(r.generation, "2s").Should(Equal(ident.Generation(10 - len(routers))))
			}
		}
	})

	It("hears from others what it cannot read itself", func() {
		s := sound()
		routers := begin(s, 3)
		for _, r := range routers {
			Eventually(func() bool { return r.View().Ready }, "5s").Should(BeTrue())
		}
		for _, cut := range routers {
			cut.face.setCut(true)
			next := cut.generation() + 1
			s.set("c/main", next)
			for _, r := range routers {
				Eventually(r.generation, "8s").Should(Equal(next))
			}
			cut.face.setCut(false)
		}
	})

	It("keeps entries that lapse in an outage until the store was back for a while", func() {
		s := sound()
		r := begin(s, 1)[0]
		Eventually(r.count, "5s").Should(Equal(3))
		s.fail(true)
		time.Sleep(2300 * time.Millisecond)
		s.remove("e/e0")
		s.remove("e/e1")
		s.fail(false)
		time.Sleep(250 * time.Millisecond)
		s.set("e/e1", world.Endpoint{Service: "s", Address: "a:1", Zone: "z", Version: "v1", Slots: 4})
		Consistently(r.count, "50ms").Should(BeNumerically(">=", 2))
		Eventually(r.count, "3s").Should(Equal(2))
	})

	It("lists again when the store has forgotten its history", func() {
		s := sound()
		r := begin(s, 1)[0]
		Eventually(r.count, "5s").Should(Equal(3))
		s.fail(true)
		time.Sleep(150 * time.Millisecond)
		s.set("c/main", 7)
		s.forget()
		s.fail(false)
		Eventually(r.generation, "3s").Should(Equal(ident.Generation(7)))
		Expect(r.count()).To(Equal(3))
	})

	It("passes over entries that cannot be read", func() {
		s := sound()
		s.set("e/odd", "text")
		s.set("routers/odd", 4)
		r := begin(s, 1)[0]
		Eventually(r.count, "5s").Should(Equal(3))
	})

	// The load: long prompts that many routers send to few endpoints, whose
	// queues none of them sees.
	It("tells every router what the others have sent, and where prompts were read", func() {
		s := sound()
		routers := begin(s, 5)
		var lock sync.Mutex
		heard := make([]map[ident.EndpointID][]uint64, len(routers))
		for i, r := range routers {
			heard[i] = map[ident.EndpointID][]uint64{}
			r.Share(func() route.EndpointBacklogs {
				w := route.EndpointBacklogs{}
				w.Add("e0", "m", route.Backlog{Count: 1, Work: 2 * time.Second})
				return w
			}, func(id ident.EndpointID, chain []uint64) {
				lock.Lock()
				defer lock.Unlock()
				heard[i][id] = append(heard[i][id], chain...)
			})
		}
		for i, r := range routers {
			Eventually(func() int { return r.Others(time.Now(), "e0")["m"].Count }, "8s").Should(Equal(len(routers) - 1))
			r.Reads(time.Now(), "e1", []uint64{uint64(i)}, []route.PromptPart{{ID: "p", Tokens: 5000}})
			r.Reads(time.Now(), "e1", []uint64{99}, []route.PromptPart{{ID: "p", Tokens: 5}})
		}
		for i := range routers {
			Eventually(func() []uint64 {
				lock.Lock()
				defer lock.Unlock()
				return heard[i]["e1"]
			}, "3s").Should(And(HaveLen(len(routers)-1), Not(ContainElement(uint64(i))), Not(ContainElement(uint64(99)))))
		}
	})

	// The load: a router that is cut off from the store follows another one, which
	// follows it. What each passes on comes back to it.
	It("does not count what waits twice while routers follow each other", func() {
		s := sound()
		routers := begin(s, 2)
		for _, r := range routers {
			Eventually(func() bool { return r.View().Ready }, "5s").Should(BeTrue())
			r.Share(func() route.EndpointBacklogs {
				w := route.EndpointBacklogs{}
				w.Add("e0", "m", route.Backlog{Count: 1, Work: 2 * time.Second})
				return w
			}, func(ident.EndpointID, []uint64) {})
		}
		most := func() int {
			n := 0
			for i, r := range routers {
				n = max(n, r.Others(time.Now(), "e0")["m"].Count)
				load := &feed.Load{Models: []ident.ModelID{"m"}, Waiting: map[ident.EndpointID][]int64{"e0": {0, 1, 2000}}}
				r.Heard(feed.Frame{From: ident.RouterID(fmt.Sprint("router-", 1-i)), Load: load})
				load = &feed.Load{Models: load.Models, Waiting: load.Waiting, Depth: 9}
				r.Heard(feed.Frame{From: "in circles", Load: load})
			}
			return n
		}
		Eventually(most, "8s", "20ms").Should(Equal(1))
		Consistently(most, "2s", "20ms").Should(BeNumerically("<=", 1))
	})

	Describe("a roll-out", func() {
		observe := func(r *router, version ident.VersionID, failed bool, n int) {
			for _, e := range r.View().Endpoints("s") {
				if e.Version != version {
					continue
				}
				outcome := route.OutcomeDone
				if failed {
					outcome = route.OutcomeFailed
				}
				for range n {
					r.Observe(time.Now(), "route", ident.SessionKey{}, pass.Report{Endpoint: e, Outcome: outcome, Failed: failed, First: 50 * time.Millisecond})
				}
				return
			}
		}

		It("is undone by the evidence of several routers, none of which has enough", func() {
			s := sound()
			s.set("e/new", world.Endpoint{Service: "s", Address: "a:2", Zone: "z", Version: "v2", Slots: 4})
			routers := begin(s, 4)
			for _, r := range routers {
				Eventually(func() bool { return r.View().Ready }, "5s").Should(BeTrue())
			}
			s.set("r/s", wireRollout{Target: "v2"})
			for _, r := range routers {
				Eventually(func() world.Stage { return r.View().Rollouts["s"].Stage }, "5s").Should(Equal(world.StageTrial))
				Eventually(r.count).Should(Equal(4))
			}
			for _, r := range routers {
				for range 2 {
					observe(r, "v1", false, 16)
					observe(r, "v2", true, 1)
				}
			}
			for _, r := range routers {
				Eventually(func() world.Stage { return r.View().Rollouts["s"].Stage }, "5s").Should(Equal(world.StageRolledBack))
				Eventually(r.count).Should(Equal(3))
			}
		})

		// The load: a version that is slow has a queue of its own, so that its late
		// answers are foreseen.
		It("is undone if it is slow, also where its queue is known", func() {
			s := sound()
			s.set("e/new", world.Endpoint{Service: "s", Address: "a:2", Zone: "z", Version: "v2", Slots: 4})
			r := begin(s, 1)[0]
			Eventually(func() bool { return r.View().Ready }, "5s").Should(BeTrue())
			timed := func(version ident.VersionID, first, foreseen time.Duration, n int) {
				for _, e := range r.View().Endpoints("s") {
					if e.Version == version {
						for range n {
							r.Observe(time.Now(), "route", ident.SessionKey{}, pass.Report{
								Endpoint: e, Outcome: route.OutcomeDone, First: first, Work: 50 * time.Millisecond, Base: foreseen,
							})
						}
						return
					}
				}
			}
			s.set("r/s", wireRollout{Target: "v2"})
			Eventually(func() world.Stage { return r.View().Rollouts["s"].Stage }, "5s").Should(Equal(world.StageTrial))
			timed("v1", 50*time.Millisecond, 50*time.Millisecond, 40)
			time.Sleep(1300 * time.Millisecond)
			timed("v1", 50*time.Millisecond, 50*time.Millisecond, 1)
			timed("v2", 400*time.Millisecond, 400*time.Millisecond, 10)
			Eventually(func() world.Stage { return r.View().Rollouts["s"].Stage }, "5s").Should(Equal(world.StageRolledBack))
		})

		It("gets sessions that begin, and leaves those in use on their version at every router", func() {
			s := sound()
			s.set("e/new", world.Endpoint{Service: "s", Address: "a:2", Zone: "z", Version: "v2", Slots: 4})
			routers := begin(s, 2)
			for _, r := range routers {
				Eventually(func() bool { return r.View().Ready }, "5s").Should(BeTrue())
			}
			session := func(i int) ident.SessionKey {
				return ident.SessionKey{Team: "t", Session: ident.SessionID(fmt.Sprint("s", i))}
			}
			time.Sleep(time.Second)
			for i := range 200 {
				routers[0].Version(time.Now(), routers[0].View(), "s", 0, session(i))
			}
			s.set("r/s", wireRollout{Target: "v2"})
			Eventually(func() world.Stage { return routers[1].View().Rollouts["s"].Stage }, "5s").Should(Equal(world.StageTrial))
			moved := 0
			for i := range 200 {
				if routers[1].Version(time.Now(), routers[1].View(), "s", 0, session(i)) == "v2" {
					moved++
				}
			}
			Expect(moved).To(BeZero())
			fresh := 0
			for i := range 400 {
				a := routers[1].Version(time.Now(), routers[1].View(), "s", 0, session(1000+i))
				Expect(routers[0].Version(time.Now(), routers[0].View(), "s", 0, session(1000+i))).To(Equal(a))
				if a == "v2" {
					fresh++
				}
			}
			Expect(fresh).To(And(BeNumerically(">", 20), BeNumerically("<", 90)))
		})
	})
})
