package shard_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func smallSettings() shard.Settings {
	s := shard.Defaults()
	s.Shards, s.RingSize = 2, 4
	s.BatchInterval, s.RetryDelay = time.Millisecond, 5*time.Millisecond
	s.CallTimeout = 200 * time.Millisecond
	return s
}

func startJournal(id ident.RouterID, p plat.Platform, f shard.Forwarder) *shard.Journal {
	j := shard.New(id, smallSettings(), p, f, time.Now, metrics.NewRegistry(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- j.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended).Should(Receive(BeNil()))
	})
	return j
}

// runJournal returns the error with which a journal stops.
func runJournal(s shard.Settings, p plat.Platform) error {
	j := shard.New("x", s, p, nil, time.Now, metrics.NewRegistry(), zap.NewNop())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return j.Run(ctx)
}

func key(i int) ident.RequestKey {
	return ident.RequestKey{Team: "lima", Request: ident.RequestID(fmt.Sprint("r", i))}
}

func claim(i int, nonce shard.Nonce) shard.Claim {
	return shard.Claim{Key: key(i), Nonce: nonce, At: time.Now()}
}

func outcome(i int) shard.Outcome {
	return shard.Outcome{Key: key(i), Status: 200, Body: []byte("{}"), At: time.Now()}
}

func bill(i int) shard.Bill {
	return shard.Bill{Key: key(i), Cost: 7, At: time.Now(), Attempts: 1}
}

var _ = Describe("Journal", func() {
	ctx := context.Background()

	It("answers a repeated claim at another router with the outcome", func() {
		p := plat.NewMemory(nil)
		a, b := startJournal("a", p, nil), startJournal("b", p, nil)
		Eventually(func() (shard.Result, error) { return a.Claim(ctx, claim(1, "n1")) }).Should(Equal(shard.Granted{}))
		Expect(b.Claim(ctx, claim(1, "n2"))).To(BeAssignableToTypeOf(shard.Taken{}))
		Expect(a.Finish(ctx, outcome(1), bill(1))).To(Succeed())
		result, err := b.Claim(ctx, claim(1, "n3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.(shard.Taken).Outcome.Status).To(Equal(200))
		Expect(shard.ReadBills(ctx, p)).To(HaveLen(1))
	})

	It("keeps every acknowledged record while the ring is overwritten many times", func() {
		p := plat.NewMemory(nil)
		a, b := startJournal("a", p, nil), startJournal("b", p, nil)
		for i := range 200 {
			j := []*shard.Journal{a, b}[i%2]
			Eventually(func() error { return j.Bill(ctx, bill(i)) }).Should(Succeed())
			Eventually(func() (shard.Result, error) { return j.Claim(ctx, claim(i, "n")) }).Should(Equal(shard.Granted{}))
		}
		Expect(shard.ReadBills(ctx, p)).To(HaveLen(200))
		c := startJournal("c", p, nil)
		for i := range 200 {
			Eventually(func() (shard.Result, error) { return c.Claim(ctx, claim(i, "m")) }).Should(BeAssignableToTypeOf(shard.Taken{}))
		}
	})

	It("returns the records that did not fit into the queue and has the others pending", Label("fault=platform-down", "fault=router-killed", "fault=two", "step=bill", "holds=bill"), func() {
		p := plat.NewMemory(func(plat.Call) plat.Fault { return plat.FaultUnavailable })
		s := smallSettings()
		s.Shards, s.MaxQueued = 1, 4
		j := shard.New("a", s, p, nil, time.Now, metrics.NewRegistry(), zap.NewNop())
		running, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- j.Run(running) }()
		Expect(j.TryEnqueue(ctx, []shard.Record{claim(9, "n"), bill(1), bill(2), bill(3), bill(4)})).To(BeEmpty())
		Expect(j.Pending()).To(HaveLen(4))
		Expect(j.TryEnqueue(ctx, []shard.Record{bill(5)})).To(HaveLen(1))
		Expect(j.Pending()).To(HaveLen(4))
		stop()
		Eventually(ended).Should(Receive(BeNil()))
	})

	It("refuses claims and queues bills while the platform is unavailable", func() {
		var down atomic.Bool
		p := plat.NewMemory(func(plat.Call) plat.Fault {
			if down.Load() {
				return plat.FaultUnavailable
			}
			return plat.FaultNone
		})
		a := startJournal("a", p, nil)
		Eventually(func() error { return a.Bill(ctx, bill(0)) }).Should(Succeed())
		down.Store(true)
		Expect(a.Bill(ctx, bill(1))).To(MatchError(shard.ErrQueued))
		Expect(a.Claim(ctx, claim(2, "n"))).To(BeAssignableToTypeOf(shard.Unavailable{}))
		Expect(a.Pending()).To(ContainElement(BeAssignableToTypeOf(shard.Bill{})))
		down.Store(false)
		Expect(a.Flush(ctx)).To(Succeed())
		Expect(shard.ReadBills(ctx, p)).To(HaveLen(2))
	})
})
