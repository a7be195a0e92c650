package shard_test

import (
	"context"
	"errors"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// testForwarder calls the owner's journal and can fail before or after the call.
type testForwarder struct {
	owner   *shard.Journal
	err     error
	deliver bool // the owner gets the record although err is returned
	calls   atomic.Int64
}

func (f *testForwarder) Propose(_ context.Context, _ ident.RouterID, _ shard.ID, r shard.Record) (shard.Result, error) {
	f.calls.Add(1)
	if f.err != nil && !f.deliver {
		return nil, f.err
	}
	result, err := f.owner.Propose(context.Background(), r)
	if f.err != nil {
		return nil, f.err
	}
	return result, err
}

var _ = Describe("Journal with a forwarder", func() {
	ctx := context.Background()
	broken := errors.New("connection lost")

	DescribeTable("commits each record once if forwarding succeeds or fails",
		func(err error, deliver bool) {
			p := plat.NewMemory(nil)
			f := &testForwarder{owner: startJournal("owner", p, nil), err: err, deliver: deliver}
			a := startJournal("a", p, f)
			a.SetRouters([]ident.RouterID{"owner"})
			Eventually(func() error { return f.owner.Bill(ctx, bill(0)) }).Should(Succeed())
			Eventually(func() error { return a.Bill(ctx, bill(0)) }).Should(Succeed())
			Eventually(func() (shard.Result, error) { return a.Claim(ctx, claim(1, "n1")) }).Should(Equal(shard.Granted{}))
			Expect(f.owner.Claim(ctx, claim(1, "n2"))).To(BeAssignableToTypeOf(shard.Taken{}))
			Expect(a.Finish(ctx, outcome(1), bill(1))).To(Succeed())
			Expect(f.calls.Load()).NotTo(BeZero())
			Expect(shard.ReadBills(ctx, p)).To(HaveLen(2))
		},
		Entry("no error", nil, false),
		Entry("owner unavailable", plat.ErrUnavailable, false),
		Entry("connection lost before delivery", broken, false),
		Entry("connection lost after delivery", broken, true),
	)

	It("releases an unavailable claim that the owner may still write", func() {
		var down atomic.Bool
		p := plat.NewMemory(func(c plat.Call) plat.Fault {
			if down.Load() && c.Class != plat.ClassStatus {
				return plat.FaultUnavailable
			}
			return plat.FaultNone
		})
		a := startJournal("a", p, &testForwarder{err: broken})
		a.SetRouters([]ident.RouterID{"owner"})
		Eventually(func() error { return a.Bill(ctx, bill(0)) }).Should(Succeed())
		down.Store(true)
		Expect(a.Claim(ctx, claim(1, "lost"))).To(BeAssignableToTypeOf(shard.Unavailable{}))
		Expect(a.Pending()).To(ContainElement(BeAssignableToTypeOf(shard.Release{})))
		down.Store(false)
		Expect(a.Flush(ctx)).To(Succeed())
		owner := startJournal("owner", p, nil)
		Eventually(func() (shard.Result, error) { return owner.Claim(ctx, claim(1, "lost")) }).Should(Equal(shard.Released{}))
		Expect(owner.Claim(ctx, claim(1, "repeat"))).To(Equal(shard.Granted{}))
	})

	It("writes the pending records of a dead peer except for claims", func() {
		p := plat.NewMemory(nil)
		a := startJournal("a", p, nil)
		a.Enqueue([]shard.Record{bill(1), claim(2, "dead"), bill(1), outcome(3)})
		Eventually(func() ([]shard.Bill, error) { return shard.ReadBills(ctx, p) }).Should(HaveLen(1))
		Expect(a.Flush(ctx)).To(Succeed())
		Expect(a.Claim(ctx, claim(2, "live"))).To(Equal(shard.Granted{}))
	})

	It("fails to start with invalid settings or settings that differ from the journal's layout", func() {
		p := plat.NewMemory(nil)
		startJournal("a", p, nil)
		Eventually(func() ([]plat.Object, error) { return p.List(ctx, plat.ClassStatus, "journal/shape") }).Should(HaveLen(1))
		s := smallSettings()
		s.Shards = 3
		Expect(runJournal(s, p)).To(MatchError(shard.ErrLayoutMismatch))
		s.Shards = 0
		Expect(runJournal(s, p)).To(MatchError(ContainSubstring("0 shards")))
	})
})
