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

// logHarness runs one log against a platform and can delay its calls.
type logHarness struct {
	log      *shard.Log
	platform plat.Platform
	hold     func(shard.Action) bool
	held     []shard.Action
	replies  map[shard.ProposalID]shard.Result
	now      time.Time
}

func newLogHarness(writer shard.Nonce, p plat.Platform, edit func(*shard.Settings)) *logHarness {
	s := smallSettings()
	s.Shards, s.RingSize, s.BatchInterval, s.RetryDelay = 1, 2, 0, 0
	edit(&s)
	return &logHarness{
		log: shard.NewLog(0, writer, s), platform: p, replies: map[shard.ProposalID]shard.Result{},
		hold: func(shard.Action) bool { return false }, now: time.Unix(1000, 0),
	}
}

// step passes an event to the log and performs each call that is not held.
func (h *logHarness) step(e shard.Event) {
	for _, a := range h.log.Step(h.now, e) {
		if r, ok := a.(shard.Reply); ok {
			Expect(h.replies).NotTo(HaveKey(r.Proposal), "second reply to a proposal")
			h.replies[r.Proposal] = r.Result
		} else if h.hold(a) {
			h.held = append(h.held, a)
		} else {
			h.perform(a)
		}
	}
}

func (h *logHarness) perform(action shard.Action) {
	ctx := context.Background()
	switch a := action.(type) {
	case shard.WriteObject:
		v, err := h.platform.Put(ctx, a.Class, a.Key, a.Value, a.Expect)
		h.step(shard.WriteDone{Call: a.Call, Version: v, Err: err})
	case shard.ReadObject:
		o, err := h.platform.Get(ctx, a.Class, a.Key)
		h.step(shard.ReadDone{Call: a.Call, Object: o, Err: err})
	case shard.ListObjects:
		objects, err := h.platform.List(ctx, a.Class, a.Prefix)
		h.step(shard.ListDone{Call: a.Call, Objects: objects, Err: err})
	case shard.DeleteObject:
		Expect(h.platform.Delete(ctx, plat.ClassStatus, a.Key, a.Expect)).To(Succeed())
	}
}

func (h *logHarness) propose(id shard.ProposalID, r shard.Record) shard.Result {
	h.step(shard.Propose{Proposal: id, Record: r, Retain: true})
	return h.replies[id]
}

func defaultSettings(*shard.Settings) {}

var _ = Describe("Log", func() {
	It("does not replace a manifest whose parts it has not included", func() {
		p := plat.NewMemory(nil)
		ring := func(s *shard.Settings) { s.RingSize = 4 }
		slow, fast := newLogHarness("slow", p, ring), newLogHarness("fast", p, ring)
		slow.hold = func(a shard.Action) bool {
			w, ok := a.(shard.WriteObject)
			return ok && strings.Contains(string(w.Key), "/part/")
		}
		for i := 1; i < 4; i++ {
			Expect(slow.propose(shard.ProposalID(i), claim(i, "s"))).To(Equal(shard.Granted{}))
		}
		Expect(slow.held).To(HaveLen(1), "its checkpoint is held")
		for i := 4; i < 16; i++ {
			Expect(fast.propose(shard.ProposalID(i), claim(i, "f"))).To(Equal(shard.Granted{}))
		}
		Expect(slow.propose(4, claim(4, "s"))).To(BeAssignableToTypeOf(shard.Taken{}), "it loads the batches of fast")
		slow.hold = func(shard.Action) bool { return false }
		slow.perform(slow.held[0])
		after := newLogHarness("after", p, ring)
		for i := 1; i < 16; i++ {
			Expect(after.propose(shard.ProposalID(i), claim(i, "x"))).To(BeAssignableToTypeOf(shard.Taken{}), "claim %d", i)
		}
	})

	It("does not overwrite newer batches after a suspension", func() {
		p := plat.NewMemory(nil)
		frozen, live := newLogHarness("frozen", p, defaultSettings), newLogHarness("live", p, defaultSettings)
		frozen.hold = func(a shard.Action) bool {
			_, ok := a.(shard.WriteObject)
			return ok
		}
		frozen.propose(1, claim(1, "f"))
		Expect(frozen.held).To(HaveLen(1))
		for i := range 20 {
			Expect(live.propose(shard.ProposalID(i), claim(i, "l"))).To(Equal(shard.Granted{}))
		}
		frozen.hold = func(shard.Action) bool { return false }
		frozen.perform(frozen.held[0])
		Expect(frozen.replies[1]).To(BeAssignableToTypeOf(shard.Taken{}))
	})

	It("limits the queue and refuses a claim at once while the platform is unavailable", func() {
		down := plat.NewMemory(func(plat.Call) plat.Fault { return plat.FaultUnavailable })
		h := newLogHarness("b", down, func(s *shard.Settings) { s.MaxQueued, s.RetryDelay = 4, time.Second })
		for i := range 4 {
			Expect(h.propose(shard.ProposalID(i), bill(i))).To(Equal(shard.Queued{}))
		}
		Expect(h.propose(5, bill(5))).To(Equal(shard.Unavailable{After: time.Second, Full: true}))
		Expect(h.propose(6, claim(6, "n"))).To(BeAssignableToTypeOf(shard.Unavailable{}))
		Expect(h.log.Counts().QueueFull).To(Equal(2))
		Expect(h.log.Pending()).To(HaveLen(4))
	})

	It("expires claims only after their retention", func() {
		p := plat.NewMemory(nil)
		h := newLogHarness("b", p, func(s *shard.Settings) { s.ClaimRetention = time.Hour })
		at := func(i int) shard.Claim {
			c := claim(i, "n")
			c.At = h.now
			return c
		}
		h.propose(1, at(1))
		h.now = h.now.Add(59 * time.Minute)
		for i := 2; i < 40; i++ {
			h.propose(shard.ProposalID(i), at(i))
		}
		Expect(newLogHarness("c", p, defaultSettings).propose(1, claim(1, "x"))).To(BeAssignableToTypeOf(shard.Taken{}))
		h.now = h.now.Add(2 * time.Minute)
		for i := 40; i < 80; i++ {
			h.propose(shard.ProposalID(i), at(i))
		}
		Expect(newLogHarness("c", p, defaultSettings).propose(1, claim(1, "x"))).To(Equal(shard.Granted{}))
	})

	It("splits a state that exceeds the maximum object size", func() {
		p := plat.NewMemory(nil)
		h := newLogHarness("b", p, defaultSettings)
		random := rand.NewChaCha8([32]byte{1})
		for i := range 60 {
			o := outcome(i)
			o.Body = make([]byte, shard.MaxBodyBytes)
			_, err := random.Read(o.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(h.propose(shard.ProposalID(i), o)).To(Equal(shard.Durable{}))
		}
		objects, err := p.List(context.Background(), plat.ClassStatus, "journal/")
		Expect(err).NotTo(HaveOccurred())
		for _, o := range objects {
			Expect(len(o.Value)).To(BeNumerically("<=", plat.MaxValueBytes), string(o.Key))
		}
		c := newLogHarness("c", p, defaultSettings)
		for i := range 60 {
			result := c.propose(shard.ProposalID(i), claim(i, "x"))
			Expect(result).To(BeAssignableToTypeOf(shard.Taken{}))
			Expect(result.(shard.Taken).Outcome.Body).To(HaveLen(shard.MaxBodyBytes))
		}
	})
})
