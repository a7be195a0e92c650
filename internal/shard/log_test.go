package shard_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

// bench drives one log against a platform and may hold calls back.
type bench struct {
	log      *shard.Log
	platform plat.Platform
	hold     func(shard.Action) bool
	held     []shard.Action
	replies  map[shard.Ticket]shard.Result
	now      time.Time
}

func newBench(writer shard.Nonce, p plat.Platform, edit func(*shard.Settings)) *bench {
	s := small()
	s.Shards, s.Ring, s.Interval, s.Retry = 1, 2, 0, 0
	edit(&s)
	return &bench{
		log: shard.NewLog(0, writer, s), platform: p, replies: map[shard.Ticket]shard.Result{},
		hold: func(shard.Action) bool { return false }, now: time.Unix(1000, 0),
	}
}

// step gives an event, and answers each call that is not held back.
func (b *bench) step(e shard.Event) {
	for _, a := range b.log.Step(b.now, e) {
		if r, ok := a.(shard.Reply); ok {
			Expect(b.replies).NotTo(HaveKey(r.Ticket), "answered twice")
			b.replies[r.Ticket] = r.Result
		} else if b.hold(a) {
			b.held = append(b.held, a)
		} else {
			b.do(a)
		}
	}
}

func (b *bench) do(action shard.Action) {
	ctx := context.Background()
	switch a := action.(type) {
	case shard.WriteObject:
		v, err := b.platform.Put(ctx, a.Class, a.Key, a.Value, a.Expect)
		b.step(shard.Put{Call: a.Call, Version: v, Err: err})
	case shard.ReadObject:
		o, err := b.platform.Get(ctx, a.Class, a.Key)
		b.step(shard.Got{Call: a.Call, Object: o, Err: err})
	case shard.ListObjects:
		objects, err := b.platform.List(ctx, a.Class, a.Prefix)
		b.step(shard.Listed{Call: a.Call, Objects: objects, Err: err})
	case shard.DeleteObject:
		Expect(b.platform.Delete(ctx, plat.ClassStatus, a.Key, a.Expect)).To(Succeed())
	}
}

func (b *bench) propose(t shard.Ticket, r shard.Record) shard.Result {
	b.step(shard.Propose{Ticket: t, Record: r, Keep: true})
	return b.replies[t]
}

func plain(*shard.Settings) {}

var _ = Describe("Log", func() {
	It("does not move the manifest from a version that it did not fold", func() {
		p := plat.NewMemory(nil)
		ring := func(s *shard.Settings) { s.Ring = 4 }
		slow, fast := newBench("slow", p, ring), newBench("fast", p, ring)
		slow.hold = func(a shard.Action) bool {
			w, ok := a.(shard.WriteObject)
			return ok && strings.Contains(string(w.Key), "/part/")
		}
		for i := 1; i < 4; i++ {
			Expect(slow.propose(shard.Ticket(i), claim(i, "s"))).To(Equal(shard.Granted{}))
		}
		Expect(slow.held).To(HaveLen(1), "its checkpoint waits")
		for i := 4; i < 16; i++ {
			Expect(fast.propose(shard.Ticket(i), claim(i, "f"))).To(Equal(shard.Granted{}))
		}
		Expect(slow.propose(4, claim(4, "s"))).To(BeAssignableToTypeOf(shard.Taken{}), "it loads what fast wrote")
		slow.hold = func(shard.Action) bool { return false }
		slow.do(slow.held[0])
		after := newBench("after", p, ring)
		for i := 1; i < 16; i++ {
			Expect(after.propose(shard.Ticket(i), claim(i, "x"))).To(BeAssignableToTypeOf(shard.Taken{}), "claim %d", i)
		}
	})

	It("never writes into a round that has passed", func() {
		p := plat.NewMemory(nil)
		frozen, live := newBench("frozen", p, plain), newBench("live", p, plain)
		frozen.hold = func(a shard.Action) bool {
			_, ok := a.(shard.WriteObject)
			return ok
		}
		frozen.propose(1, claim(1, "f"))
		Expect(frozen.held).To(HaveLen(1))
		for i := range 20 {
			Expect(live.propose(shard.Ticket(i), claim(i, "l"))).To(Equal(shard.Granted{}))
		}
		frozen.hold = func(shard.Action) bool { return false }
		frozen.do(frozen.held[0])
		Expect(frozen.replies[1]).To(BeAssignableToTypeOf(shard.Taken{}))
	})

	It("bounds the queue, and answers a claim at once while the platform is away", func() {
		down := plat.NewMemory(func(plat.Call) plat.Fault { return plat.FaultUnavailable })
		b := newBench("b", down, func(s *shard.Settings) { s.Queue, s.Retry = 4, time.Second })
		for i := range 4 {
			Expect(b.propose(shard.Ticket(i), bill(i))).To(Equal(shard.Queued{}))
		}
		Expect(b.propose(5, bill(5))).To(Equal(shard.Unavailable{After: time.Second, Full: true}))
		Expect(b.propose(6, claim(6, "n"))).To(BeAssignableToTypeOf(shard.Unavailable{}))
		Expect(b.log.Counts().Full).To(Equal(2))
		Expect(b.log.Pending()).To(HaveLen(4))
	})

	It("forgets claims only after they are too old", func() {
		p := plat.NewMemory(nil)
		b := newBench("b", p, func(s *shard.Settings) { s.Claims = time.Hour })
		at := func(i int) shard.Claim {
			c := claim(i, "n")
			c.At = b.now
			return c
		}
		b.propose(1, at(1))
		b.now = b.now.Add(59 * time.Minute)
		for i := 2; i < 40; i++ {
			b.propose(shard.Ticket(i), at(i))
		}
		Expect(newBench("c", p, plain).propose(1, claim(1, "x"))).To(BeAssignableToTypeOf(shard.Taken{}))
		b.now = b.now.Add(2 * time.Minute)
		for i := 40; i < 80; i++ {
			b.propose(shard.Ticket(i), at(i))
		}
		Expect(newBench("c", p, plain).propose(1, claim(1, "x"))).To(Equal(shard.Granted{}))
	})

	It("splits a state that does not fit into one object", func() {
		p := plat.NewMemory(nil)
		b := newBench("b", p, plain)
		random := rand.NewChaCha8([32]byte{1})
		for i := range 60 {
			o := outcome(i)
			o.Body = make([]byte, shard.MaxBody)
			_, err := random.Read(o.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(b.propose(shard.Ticket(i), o)).To(Equal(shard.Durable{}))
		}
		objects, err := p.List(context.Background(), plat.ClassStatus, "journal/")
		Expect(err).NotTo(HaveOccurred())
		for _, o := range objects {
			Expect(len(o.Value)).To(BeNumerically("<=", plat.MaxValueBytes), string(o.Key))
		}
		c := newBench("c", p, plain)
		for i := range 60 {
			result := c.propose(shard.Ticket(i), claim(i, "x"))
			Expect(result).To(BeAssignableToTypeOf(shard.Taken{}))
			Expect(result.(shard.Taken).Outcome.Body).To(HaveLen(shard.MaxBody))
		}
	})
})
