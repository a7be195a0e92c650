package serve_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/engine"
)

var _ = Describe("A run that may crash its endpoint", func() {
	ctx := context.Background()

	// Guards against an error of a service that fails before it runs a request, which
	// cleared it of the crashes of others.
	It("does not count as complete if its service answers with an error", func() {
		for status, complete := range map[int]bool{200: true, 404: true, 500: false} {
			h := newHarness()
			h.engine.calls = append(h.engine.calls, func(context.Context, engine.Attempt) (engine.Answer, error) {
				return engine.Answer{Status: status}, nil
			})
			h.server.Run(ctx, bookingRequest(longDeadline), &fakeCaller{})
			Expect(h.runEnds()).To(ConsistOf(HaveField("Complete", complete)), "status %d", status)
		}
	})

	It("tells the control thread of a run whose caller has left", func() {
		h := newHarness()
		started := make(chan struct{})
		h.engine.streams = append(h.engine.streams, func(ctx context.Context, _ engine.Attempt, _ func(engine.Frame) error) error {
			close(started)
			<-ctx.Done()
			return ctx.Err()
		})
		left, leave := context.WithCancel(ctx)
		go func() {
			<-started
			leave()
		}()
		h.server.Run(left, chatRequest(longDeadline), &fakeCaller{})
		Eventually(h.withdrawnRuns).Should(ConsistOf(And(HaveField("Withdrawn", true), HaveField("Incarnation.Endpoint", Not(BeEmpty())))))
		Expect(h.runEnds()).To(BeEmpty())
	})
})
