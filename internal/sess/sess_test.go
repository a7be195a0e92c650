package sess_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/sess"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var (
	start   = time.Unix(1000, 0).UTC()
	session = ident.SessionKey{Team: "t", Session: "s"}
	team    = &fleet.Team{ID: "t", Models: []fleet.ModelGrant{{Model: "m"}}}
)

func snapshot(withdrawn ...ident.VersionID) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Config: &fleet.Config{Models: map[ident.ModelID]*fleet.Model{
			"m": {ID: "m", Default: "1", Versions: []ident.VersionID{"1", "2", "3"}},
		}},
		Withdrawn: map[ident.Release]fleet.Withdrawal{},
	}
	for _, v := range withdrawn {
		s.Withdrawn[ident.Release{Model: "m", Version: v}] = fleet.Withdrawal{}
	}
	return s
}

func binding(version ident.VersionID, moves uint32) *sess.Binding {
	return &sess.Binding{Session: session, Model: "m", Version: version, Moves: moves, Issued: start}
}

var _ = Describe("Resolve", func() {
	inputs := func(token, cached *sess.Binding, chosen ident.VersionID) sess.Inputs {
		return sess.Inputs{Session: session, Model: "m", Team: team, Token: token, Cached: cached, Chosen: chosen}
	}

	It("keeps the version through anything but a withdrawal, and reports moves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			versions := []ident.VersionID{"1", "2", "3"}
			s := snapshot()
			var token, cached *sess.Binding
			var version ident.VersionID
			moves := uint32(0)
			for i := range rapid.IntRange(1, 30).Draw(t, "events") {
				now := start.Add(time.Duration(i) * time.Second)
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0: // the home routers are replaced
					cached = nil
				case 1: // the caller loses its token, unless it is the only copy
					if cached != nil {
						token = nil
					}
				case 2: // a withdrawal of any version but the first
					if v := rapid.SampledFrom(versions[1:]).Draw(t, "withdrawn"); true {
						s.Withdrawn[ident.Release{Model: "m", Version: v}] = fleet.Withdrawal{}
					}
				}
				chosen := rapid.SampledFrom(versions).Draw(t, "chosen")
				if !s.Allowed(ident.Release{Model: "m", Version: chosen}) {
					chosen = "1"
				}
				r := sess.Resolve(now, s, inputs(token, cached, chosen))
				withdrawn := version != "" && !s.Allowed(ident.Release{Model: "m", Version: version})
				if r.Moved != withdrawn || r.Moved && r.From != version {
					t.Fatalf("moved %v from %q, but version %q withdrawn: %v", r.Moved, r.From, version, withdrawn)
				}
				if version != "" && !withdrawn && r.Binding.Version != version {
					t.Fatalf("version %q became %q", version, r.Binding.Version)
				}
				if !s.Allowed(ident.Release{Model: "m", Version: r.Binding.Version}) {
					t.Fatalf("version %q is withdrawn", r.Binding.Version)
				}
				if r.Moved {
					moves++
				}
				if r.Binding.Moves != moves {
					t.Fatalf("%d moves counted of %d", r.Binding.Moves, moves)
				}
				version = r.Binding.Version
				if r.Renew {
					b := r.Binding
					token, cached = &b, &b
				}
			}
		})
	})

	It("uses the token or the cached binding, whichever has more moves", func() {
		s := snapshot("2")
		r := sess.Resolve(start, s, inputs(binding("2", 0), binding("3", 1), "1"))
		Expect(r.Binding.Version).To(Equal(ident.VersionID("3")))
		Expect(r.Moved).To(BeFalse(), "the move was reported before")
		Expect(r.Renew).To(BeTrue(), "the token is outdated")
		r = sess.Resolve(start, s, inputs(binding("3", 1), binding("2", 0), "1"))
		Expect(r.Binding.Version).To(Equal(ident.VersionID("3")))
	})

	It("resolves two concurrent bindings to the same one in either order", func() {
		a, b := binding("1", 0), binding("2", 0)
		one := sess.Resolve(start, snapshot(), inputs(a, b, "3"))
		two := sess.Resolve(start, snapshot(), inputs(b, a, "3"))
		Expect(one.Binding).To(Equal(two.Binding))
	})

	It("ignores bindings of another session or model", func() {
		other := binding("2", 5)
		other.Session.Session = "other"
		Expect(sess.Resolve(start, snapshot(), inputs(other, nil, "1")).Binding.Version).To(Equal(ident.VersionID("1")))
		other = binding("2", 5)
		other.Model = "n"
		Expect(sess.Resolve(start, snapshot(), inputs(nil, other, "1")).Binding.Version).To(Equal(ident.VersionID("1")))
	})

	It("moves from a version that the team may no longer use", func() {
		in := inputs(binding("2", 0), nil, "1")
		in.Team = &fleet.Team{ID: "t", Models: []fleet.ModelGrant{{Model: "m", Versions: []ident.VersionID{"1"}}}}
		r := sess.Resolve(start, snapshot(), in)
		Expect(r.Moved).To(BeTrue())
		Expect(r.Binding.Version).To(Equal(ident.VersionID("1")))
	})
})

var _ = Describe("Token", func() {
	seal := func(k sess.Key) *sess.Sealer {
		s, err := sess.NewSealer(k)
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	It("opens for its own session only, also after a key rotation", func() {
		old := seal(sess.Key{1})
		token, err := old.Seal(*binding("2", 3))
		Expect(err).NotTo(HaveOccurred())
		both, err := sess.NewSealer(sess.Key{2}, sess.Key{1})
		Expect(err).NotTo(HaveOccurred())
		Expect(both.Open(session, token)).To(Equal(*binding("2", 3)))
		_, err = both.Open(ident.SessionKey{Team: "u", Session: "s"}, token)
		Expect(errors.Is(err, sess.ErrToken)).To(BeTrue())
		_, err = seal(sess.Key{2}).Open(session, token)
		Expect(errors.Is(err, sess.ErrToken)).To(BeTrue())
	})

	It("has a nonce of its own for each binding, and does not open when modified", func() {
		s := seal(sess.Key{1})
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := binding(ident.VersionID(rapid.String().Draw(t, "version")), 1)
			b := binding(a.Version, 2)
			one, _ := s.Seal(*a)
			two, _ := s.Seal(*b)
			const nonce = 32 // base64 of 24 bytes
			if one[:nonce] == two[:nonce] {
				t.Fatal("two bindings share a nonce")
			}
			i := rapid.IntRange(0, len(one)-2).Draw(t, "place")
			changed := []byte(one)
			changed[i] ^= 1
			if _, err := s.Open(session, sess.Token(changed)); err == nil {
				t.Fatalf("a token changed at %d opens", i)
			}
		})
		for _, bad := range []sess.Token{"", "x", "!!!!", sess.Token(make([]byte, 1<<16))} {
			_, err := s.Open(session, bad)
			Expect(errors.Is(err, sess.ErrToken)).To(BeTrue())
		}
	})
})

func routers(n int) []fleet.Router {
	var list []fleet.Router
	for i := range n {
		list = append(list, fleet.Router{ID: ident.RouterID(fmt.Sprint("r", i)), Zone: ident.ZoneID(fmt.Sprint("z", i%3))})
	}
	return list
}

var _ = Describe("HomeRouters", func() {
	It("are in two zones, not leaving, and change only when one of them leaves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := routers(rapid.IntRange(4, 30).Draw(t, "routers"))
			key := ident.SessionKey{Team: "t", Session: ident.SessionID(rapid.String().Draw(t, "session"))}
			homes := sess.HomeRouters(key, list)
			zone := map[ident.RouterID]ident.ZoneID{}
			for _, r := range list {
				zone[r.ID] = r.Zone
			}
			if len(homes) != 2 || zone[homes[0]] == zone[homes[1]] {
				t.Fatalf("homes %v", homes)
			}
			gone := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
			list[gone].Leaving = true
			after := sess.HomeRouters(key, list)
			for i, h := range homes {
				if after[i] == list[gone].ID || h != list[gone].ID && homes[0] != list[gone].ID && after[i] != h {
					t.Fatalf("homes %v became %v as %s left", homes, after, list[gone].ID)
				}
			}
		})
	})

	It("are in the same zone if there is only one", func() {
		list := routers(7)
		Expect(sess.HomeRouters(session, []fleet.Router{list[0], list[3]})).To(HaveLen(2))
		Expect(sess.HomeRouters(session, list[:1])).To(HaveLen(1))
		Expect(sess.HomeRouters(session, nil)).To(BeEmpty())
	})
})

var _ = Describe("Cache", func() {
	It("is bounded and keeps the newer binding", func() {
		c, err := sess.NewCache(10)
		Expect(err).NotTo(HaveOccurred())
		c.Put(*binding("3", 2))
		c.Put(*binding("2", 1))
		Expect(c.Get(session, "m")).To(Equal(binding("3", 2)))
		for i := range 100 {
			b := binding("1", 0)
			b.Session.Session = ident.SessionID(fmt.Sprint(i))
			c.Put(*b)
		}
		Expect(c.Len()).To(Equal(10))
		_, err = sess.NewCache(0)
		Expect(err).To(HaveOccurred())
	})
})

func BenchmarkResolve(b *testing.B) {
	s, in := snapshot(), sess.Inputs{Session: session, Model: "m", Team: team, Token: binding("2", 0), Chosen: "1"}
	b.ReportAllocs()
	for b.Loop() {
		sess.Resolve(start, s, in)
	}
}

func BenchmarkToken(b *testing.B) {
	s, err := sess.NewSealer(sess.Key{1})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		token, _ := s.Seal(*binding("2", 0))
		if _, err := s.Open(session, token); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkHomeRouters(b *testing.B) {
	list := routers(360)
	b.ReportAllocs()
	for b.Loop() {
		sess.HomeRouters(session, list)
	}
}
