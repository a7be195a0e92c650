package publsh_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/status"
)

var _ = Describe("Await", func() {
	It("waits for each live router and names the one that lags", func() {
		asked := 0
		ask := func(context.Context) ([]status.Router, error) {
			asked++
			if asked == 1 {
				return nil, errors.New("no route")
			}
			return []status.Router{{ID: "r1", Generation: 3}, {ID: "r2", Zone: "sur", Generation: 2}, {ID: "r3", Generation: 1, Stopping: true}}, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		var seen []publsh.Progress
		report := func(p publsh.Progress) {
			if seen = append(seen, p); len(seen) == 3 {
				cancel()
			}
		}
		err := publsh.NewPublisher(nil, now, noSleep).Await(ctx, 3, ask, time.Second, report)
		Expect(err).To(MatchError("generation 3 is accepted, but not yet in force on 1 of 2 routers: r2 (zone sur, generation 2)"))
		Expect(seen[0].QueryError).To(HaveOccurred())
		Expect(publsh.NewPublisher(nil, now, noSleep).Await(context.Background(), 2, ask, time.Second, report)).To(Succeed())
	})

	It("keeps what it knew when the last answer is cut short", func() {
		ctx, cancel := context.WithCancel(context.Background())
		asked := 0
		ask := func(ctx context.Context) ([]status.Router, error) {
			if asked++; asked == 2 {
				cancel()
				return nil, ctx.Err()
			}
			return []status.Router{{ID: "r2", Zone: "sur", Generation: 2}}, nil
		}
		err := publsh.NewPublisher(nil, now, noSleep).Await(ctx, 3, ask, time.Second, func(publsh.Progress) {})
		Expect(err).To(MatchError(ContainSubstring("not yet in force on 1 of 1 routers: r2")))
	})

	It("does not take silence for success", func() {
		ctx, cancel := context.WithCancel(context.Background())
		none := func(context.Context) ([]status.Router, error) { cancel(); return nil, nil }
		err := publsh.NewPublisher(nil, now, noSleep).Await(ctx, 3, none, time.Second, func(publsh.Progress) {})
		Expect(err).To(MatchError("generation 3 is accepted, but no router is live to run it"))
	})
})
