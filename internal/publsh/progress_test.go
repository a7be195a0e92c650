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
	It("waits for every live router and names the lagging ones", func() {
		calls := 0
		list := func(context.Context) ([]status.Router, error) {
			calls++
			if calls == 1 {
				return nil, errors.New("no route")
			}
			return []status.Router{{ID: "r1", Generation: 3}, {ID: "r2", Zone: "sur", Generation: 2}, {ID: "r3", Generation: 1, Stopping: true}}, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		var reports []publsh.Progress
		report := func(p publsh.Progress) {
			if reports = append(reports, p); len(reports) == 3 {
				cancel()
			}
		}
		err := publsh.NewPublisher(nil, now, noSleep).Await(ctx, 3, list, time.Second, report)
		Expect(err).To(MatchError("generation 3 is accepted, but not yet in force on 1 of 2 routers: r2 (zone sur, generation 2)"))
		Expect(reports[0].QueryError).To(HaveOccurred())
		Expect(publsh.NewPublisher(nil, now, noSleep).Await(context.Background(), 2, list, time.Second, report)).To(Succeed())
	})

	It("reports the previous progress when the last call is cancelled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		calls := 0
		list := func(ctx context.Context) ([]status.Router, error) {
			if calls++; calls == 2 {
				cancel()
				return nil, ctx.Err()
			}
			return []status.Router{{ID: "r2", Zone: "sur", Generation: 2}}, nil
		}
		err := publsh.NewPublisher(nil, now, noSleep).Await(ctx, 3, list, time.Second, func(publsh.Progress) {})
		Expect(err).To(MatchError(ContainSubstring("not yet in force on 1 of 1 routers: r2")))
	})

	It("fails when no router is live", func() {
		ctx, cancel := context.WithCancel(context.Background())
		none := func(context.Context) ([]status.Router, error) { cancel(); return nil, nil }
		err := publsh.NewPublisher(nil, now, noSleep).Await(ctx, 3, none, time.Second, func(publsh.Progress) {})
		Expect(err).To(MatchError("generation 3 is accepted, but no router is live to run it"))
	})
})
