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

// link is a forwarder that hands records to an owner and may lose the answer.
type link struct {
	owner *shard.Journal
	fail  error
	late  bool // the owner gets the record, although the link breaks
	calls atomic.Int64
}

func (l *link) Propose(_ context.Context, _ ident.RouterID, _ shard.ID, r shard.Record) (shard.Result, error) {
	l.calls.Add(1)
	if l.fail != nil && !l.late {
		return nil, l.fail
	}
	result, err := l.owner.Propose(context.Background(), r)
	if l.fail != nil {
		return nil, l.fail
	}
	return result, err
}

var _ = Describe("Journal that forwards", func() {
	ctx := context.Background()
	broken := errors.New("link broke")

	DescribeTable("commits each record once, whatever becomes of the link",
		func(fail error, late bool) {
			p := plat.NewMemory(nil)
			l := &link{owner: start("owner", p, nil), fail: fail, late: late}
			a := start("a", p, l)
			a.SetRouters([]ident.RouterID{"owner"})
			Eventually(func() error { return l.owner.Bill(ctx, bill(0)) }).Should(Succeed())
			Eventually(func() error { return a.Bill(ctx, bill(0)) }).Should(Succeed())
			Eventually(func() (shard.Result, error) { return a.Claim(ctx, claim(1, "n1")) }).Should(Equal(shard.Granted{}))
			Expect(l.owner.Claim(ctx, claim(1, "n2"))).To(BeAssignableToTypeOf(shard.Taken{}))
			Expect(a.Finish(ctx, outcome(1), bill(1))).To(Succeed())
			Expect(l.calls.Load()).NotTo(BeZero())
			Expect(shard.ReadBills(ctx, p)).To(HaveLen(2))
		},
		Entry("well", nil, false),
		Entry("cut", plat.ErrUnavailable, false),
		Entry("broken before", broken, false),
		Entry("broken after", broken, true),
	)

	It("releases a claim that the owner may write yet, when it gives up", func() {
		var down atomic.Bool
		p := plat.NewMemory(func(c plat.Call) plat.Fault {
			if down.Load() && c.Class != plat.ClassStatus {
				return plat.FaultUnavailable
			}
			return plat.FaultNone
		})
		a := start("a", p, &link{fail: broken})
		a.SetRouters([]ident.RouterID{"owner"})
		Eventually(func() error { return a.Bill(ctx, bill(0)) }).Should(Succeed())
		down.Store(true)
		Expect(a.Claim(ctx, claim(1, "lost"))).To(BeAssignableToTypeOf(shard.Unavailable{}))
		Expect(a.Pending()).To(ContainElement(BeAssignableToTypeOf(shard.Release{})))
		down.Store(false)
		Expect(a.Flush(ctx)).To(Succeed())
		owner := start("owner", p, nil)
		Eventually(func() (shard.Result, error) { return owner.Claim(ctx, claim(1, "lost")) }).Should(Equal(shard.Released{}))
		Expect(owner.Claim(ctx, claim(1, "repeat"))).To(Equal(shard.Granted{}))
	})

	It("writes what a dead peer had pending, but no claims", func() {
		p := plat.NewMemory(nil)
		a := start("a", p, nil)
		a.Adopt([]shard.Record{bill(1), claim(2, "dead"), bill(1), outcome(3)})
		Eventually(func() ([]shard.Bill, error) { return shard.ReadBills(ctx, p) }).Should(HaveLen(1))
		Expect(a.Flush(ctx)).To(Succeed())
		Expect(a.Claim(ctx, claim(2, "live"))).To(Equal(shard.Granted{}))
	})

	It("says why it does not start with other settings than the journal's", func() {
		p := plat.NewMemory(nil)
		start("a", p, nil)
		Eventually(func() ([]plat.Object, error) { return p.List(ctx, plat.ClassStatus, "journal/shape") }).Should(HaveLen(1))
		s := small()
		s.Shards = 3
		Expect(run(s, p)).To(MatchError(shard.ErrShape))
		s.Shards = 0
		Expect(run(s, p)).To(MatchError(ContainSubstring("0 shards")))
	})
})
