package serve_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/serve"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// soon is far below patient: what is decided comes at once.
const soon = patient / 10

var _ = Describe("A streamed request", func() {
	ctx := context.Background()

	It("never sees an attempt's end overtake its frames", Label("fault=frames-late", "step=final", "holds=answer", "holds=bill"), func() {
		const frames = 200
		b := newBench()
		b.engine.streams = append(b.engine.streams, stream(frames, frames, nil))
		for i := range 100 {
			r, caller := chat(patient), &reader{}
			r.Key.Request = ident.RequestID(fmt.Sprint("q", i))
			Expect(b.server.Run(ctx, r, caller).Refusal).To(BeNil())
			Expect(caller.got.String()).To(Equal(whole(frames)))
		}
		Expect(b.engine.sent()).To(HaveLen(100))
		Expect(b.journal.billed()).To(HaveLen(100))
	})

	DescribeTable("goes on after an attempt that broke, with no token doubled or missing, and is billed once",
		func(seen int, failure error, died int) {
			b := newBench()
			b.engine.streams = append(b.engine.streams, stream(seen, 10, failure), stream(10, 10, nil))
			caller := &reader{}
			result := b.server.Run(ctx, chat(patient), caller)
			Expect(result.Refusal).To(BeNil())
			Expect(caller.got.String()).To(Equal(whole(10)))
			Expect(b.engine.sent()).To(HaveLen(2))
			Expect(b.engine.sent()[1].Resume).To(Equal(seen))
			Expect(b.engine.sent()[1].Address).To(Equal(b.engine.sent()[0].Address))
			Expect(b.journal.billed()).To(HaveLen(1))
			Expect(b.died()).To(Equal(died))
		},
		Entry("before the first frame", Label("fault=endpoint-crashed", "fault=endpoint-cut", "step=dispatch", "step=first", "holds=answer", "holds=bill"), 0, engine.ErrBroken, 1),
		Entry("mid-stream", Label("fault=endpoint-crashed", "fault=endpoint-cut", "fault=endpoint-oneway", "step=middle", "holds=answer"), 4, engine.ErrBroken, 1),
		Entry("before the final frame", Label("fault=endpoint-crashed", "step=final"), 9, engine.ErrBroken, 1),
		Entry("not sent", Label("fault=endpoint-cut", "step=dispatch"), 0, engine.ErrNotSent, 0),
		Entry("overloaded", Label("fault=endpoint-lies", "fault=pool-out", "step=dispatch"), 0, engine.ErrOverloaded, 0),
		Entry("leaving", Label("fault=list-lags", "step=choose", "holds=leaving"), 0, engine.ErrLeaving, 0),
	)

	It("is cancelled on its endpoint when its caller leaves, and pays for what was passed on", Label("fault=caller-bad", "step=middle", "holds=bill"), func() {
		b := newBench()
		gone := make(chan struct{})
		b.engine.streams = append(b.engine.streams, func(ctx context.Context, run engine.Run, emit func(engine.Frame) error) error {
			_ = stream(3, 10, nil)(ctx, run, emit)
			<-ctx.Done()
			close(gone)
			return ctx.Err()
		})
		ctx, leave := context.WithCancel(ctx)
		result := b.server.Run(ctx, chat(patient), &reader{text: leave})
		Expect(result.Refusal).To(HaveField("Code", flow.CodeCallerGone))
		Eventually(gone).Should(BeClosed())
		Eventually(b.journal.billed).Should(HaveLen(1))
		Eventually(b.server.Open).Should(BeZero())
		Expect(b.died()).To(BeZero())
	})

	It("holds a bounded part of an answer for a caller who is slow", Label("fault=caller-bad", "step=middle", "holds=answer"), func() {
		const frames, buffer = 2000, 64
		b := newBench()
		var emitted atomic.Int64
		b.engine.streams = append(b.engine.streams, func(ctx context.Context, run engine.Run, emit func(engine.Frame) error) error {
			return stream(frames, frames, nil)(ctx, run, func(f engine.Frame) error {
				emitted.Add(1)
				return emit(f)
			})
		})
		read := make(chan struct{})
		caller := &reader{text: func() { <-read }}
		done := make(chan flow.Result)
		go func() { done <- b.server.Run(ctx, chat(patient), caller) }()
		Eventually(emitted.Load).Should(BeNumerically(">=", buffer))
		Consistently(emitted.Load, "100ms").Should(BeNumerically("<=", buffer+3))
		close(read)
		Eventually(done).Should(Receive(HaveField("Refusal", BeNil())))
		Expect(caller.got.String()).To(Equal(whole(frames)))
	})

	It("is cancelled when its permit runs out, and goes on under another", Label("fault=lease-lapsed", "fault=endpoint-cold", "step=middle", "holds=cold"), func() {
		b := newBench()
		b.show(cold)
		ending := make(chan struct{})
		b.permits.ending = ending
		b.engine.streams = append(b.engine.streams, func(ctx context.Context, run engine.Run, emit func(engine.Frame) error) error {
			_ = stream(3, 10, nil)(ctx, run, emit)
			close(ending)
			<-ctx.Done()
			return ctx.Err()
		}, stream(10, 10, nil))
		caller := &reader{}
		Expect(b.server.Run(ctx, chat(patient), caller).Refusal).To(BeNil())
		Expect(caller.got.String()).To(Equal(whole(10)))
		Eventually(b.permits.released).Should(HaveLen(2))
		Expect(b.died()).To(BeZero())
	})

	DescribeTable("is never sent to a cold endpoint without a permit that still holds, and the slot is given back",
		func(change func(*bench)) {
			b := newBench()
			b.show(cold)
			change(b)
			result := b.server.Run(ctx, chat(brief), &reader{})
			Expect(result.Refusal).To(HaveField("Ran", flow.RanNo))
			Expect(b.engine.sent()).To(BeEmpty())
		},
		Entry("denied", Label("fault=endpoint-cold", "fault=pool-out", "step=choose", "holds=cold", "holds=refusal"), func(b *bench) {
			b.permits.ask = func() error { return &serve.Denied{Reason: "full", After: time.Second} }
		}),
		Entry("no steward", Label("fault=peer-cut", "fault=peer-slow", "fault=peer-oneway", "step=choose", "holds=cold"), func(b *bench) {
			b.permits.ask = func() error { return errors.New("unreachable") }
		}),
		Entry("run out before the sending", Label("fault=lease-lapsed", "fault=router-frozen", "step=dispatch", "holds=cold"), func(b *bench) { b.permits.stale = true }),
	)

	DescribeTable("is not sent when its version is withdrawn after its admission",
		func(arrange func(*bench, *flow.Request)) {
			b := newBench()
			r := chat(patient)
			arrange(b, &r)
			started := time.Now()
			result := b.server.Run(ctx, r, &reader{})
			Expect(result.Refusal).To(And(HaveField("Code", flow.CodeWithdrawn), HaveField("Ran", flow.RanNo)))
			Expect(b.engine.sent()).To(BeEmpty())
			Expect(time.Since(started)).To(BeNumerically("<", soon))
		},
		Entry("while its session is bound", Label("fault=version-bad", "step=choose", "step=withdraw", "holds=withdrawn", "holds=refusal"), func(b *bench, r *flow.Request) {
			r.Version, r.Session = "", "s"
			b.journal.bind = func(bind shard.Binding) (ident.VersionID, error) {
				b.show(withdrawn)
				return bind.Version, nil
			}
		}),
		Entry("while it waits for a permit", Label("fault=version-bad", "fault=endpoint-cold", "fault=two", "step=dispatch", "holds=withdrawn"), func(b *bench, _ *flow.Request) {
			b.show(cold)
			b.permits.ask = func() error {
				b.show(func(s *fleet.Snapshot) { cold(s); withdrawn(s) })
				return nil
			}
		}),
	)

	DescribeTable("that is given up hears so at once, not near its deadline",
		func(code flow.Code, ran flow.RunState, arrange func(*bench)) {
			b := newBench()
			arrange(b)
			started := time.Now()
			result := b.server.Run(ctx, chat(patient), &reader{})
			Expect(result.Refusal).To(And(HaveField("Code", code), HaveField("Ran", ran), HaveField("RetryAfter", BeNumerically(">", 0))))
			Expect(time.Since(started)).To(BeNumerically("<", soon))
			Expect(b.journal.billed()).To(BeEmpty())
		},
		Entry("no endpoint serves it", Label("fault=pool-out", "step=choose", "step=reply", "holds=refusal"), flow.CodeNoCapacity, flow.RanNo, func(b *bench) {
			b.show(func(s *fleet.Snapshot) { clear(s.Endpoints) })
		}),
		Entry("its zone is out", Label("fault=pool-out", "step=zone-out", "holds=zone"), flow.CodeNoCapacity, flow.RanNo, func(b *bench) {
			b.show(func(s *fleet.Snapshot) { s.Config.Zones["a"].Out = true })
		}),
		Entry("each endpoint breaks", Label("fault=endpoint-crashed", "step=dispatch", "step=reply", "holds=refusal"), flow.CodeEndpointFailed, flow.RanUnknown, func(b *bench) {
			b.engine.streams = append(b.engine.streams, stream(0, 1, engine.ErrBroken))
		}),
		Entry("each endpoint refuses", Label("fault=endpoint-lies", "step=reply", "holds=refusal"), flow.CodeEndpointFailed, flow.RanNo, func(b *bench) {
			b.engine.streams = append(b.engine.streams, stream(0, 1, engine.ErrNotRun))
		}),
	)

	It("does not run on a view that is too old", Label("fault=router-frozen", "step=choose", "holds=withdrawn", "holds=refusal"), func() {
		b := newBench()
		b.show(func(s *fleet.Snapshot) { s.ExpiresAt = time.Now() })
		result := b.server.Run(ctx, chat(brief), &reader{})
		Expect(result.Refusal).To(HaveField("Ran", flow.RanNo))
		Expect(b.engine.sent()).To(BeEmpty())
	})

	It("keeps the version that the journal has for its session, on every router", Label("fault=router-replaced", "step=choose", "holds=session"), func() {
		for range 2 {
			b := newBench()
			b.engine.streams = append(b.engine.streams, stream(1, 1, nil))
			b.journal.bind = func(shard.Binding) (ident.VersionID, error) { return "2", nil }
			r := chat(patient)
			r.Version, r.Session = "", "s"
			Expect(b.server.Run(ctx, r, &reader{}).Release).To(Equal(candidate))
		}
	})

	It("gets the same version on every router while the platform is down", Label("fault=platform-down", "fault=platform-slow", "fault=platform-stale", "step=choose", "holds=session"), func() {
		benches := []*bench{newBench(), newBench()}
		for i := range 20 {
			var found [2]ident.Release
			for k, b := range benches {
				b.engine.streams = append(b.engine.streams, stream(1, 1, nil))
				b.journal.bind = func(shard.Binding) (ident.VersionID, error) { return "", errors.New("away") }
				r := chat(patient)
				r.Version, r.Session = "", ident.SessionID(fmt.Sprint("s", i))
				found[k] = b.server.Run(ctx, r, &reader{}).Release
			}
			Expect(found[0]).To(Equal(found[1]))
		}
	})

	It("is answered though its bill must wait for the platform", Label("fault=platform-down", "fault=platform-lost", "step=bill", "step=reply", "holds=bill"), func() {
		b := newBench()
		b.engine.streams = append(b.engine.streams, stream(3, 3, nil))
		b.journal.broken = shard.ErrQueued
		Expect(b.server.Run(ctx, chat(patient), &reader{}).Refusal).To(BeNil())
		Expect(b.journal.billed()).To(HaveLen(1))
	})

	DescribeTable("is answered once peers were asked to hold what is not durable",
		func(journal, peers error, held int, state string) {
			b := newBench()
			b.engine.streams = append(b.engine.streams, stream(3, 3, nil))
			b.journal.broken, b.copies.broken = journal, peers
			Expect(b.server.Run(ctx, chat(patient), &reader{}).Refusal).To(BeNil())
			Expect(b.copies.records).To(HaveLen(held))
			var text strings.Builder
			Expect(b.server.Metrics.Expose(&text)).To(Succeed())
			Expect(text.String()).To(MatchRegexp(`bills_total\{[^}]*state="` + state + `"[^}]*\} 1`))
		},
		Entry("durable", nil, nil, 0, "durable"),
		Entry("copied", Label("fault=platform-down", "step=bill", "step=reply", "holds=bill"), shard.ErrQueued, nil, 1, "copied"),
		Entry("no peer", Label("fault=platform-down", "fault=peer-cut", "fault=two", "step=bill", "step=reply", "holds=bill"), shard.ErrQueued, errors.New("cut"), 1, "queued"),
		Entry("failed", shard.ErrFull, nil, 0, "failed"),
	)
})

var _ = Describe("A request that must not run twice", func() {
	ctx := context.Background()
	answer := func(context.Context, engine.Run) (engine.Answer, error) {
		return engine.Answer{Status: 200, Body: []byte(`{}`)}, nil
	}
	failing := func(err error) func(context.Context, engine.Run) (engine.Answer, error) {
		return func(context.Context, engine.Run) (engine.Answer, error) { return engine.Answer{}, err }
	}

	It("is refused at once when its key cannot be claimed, and nothing is sent", Label("fault=platform-down", "fault=platform-cut", "fault=platform-oneway", "step=claim", "step=reply", "holds=refusal", "holds=once"), func() {
		b := newBench()
		b.journal.claim = func(context.Context, shard.Claim) (shard.Result, error) { return nil, errors.New("away") }
		started := time.Now()
		result := b.server.Run(ctx, booking(patient), &reader{})
		Expect(result.Refusal).To(And(HaveField("Code", flow.CodePlatformUnavailable), HaveField("Ran", flow.RanUnknown), HaveField("RetryAfter", BeNumerically(">=", time.Second))))
		Expect(time.Since(started)).To(BeNumerically("<", soon))
		Expect(b.engine.sent()).To(BeEmpty())
	})

	It("is refused when a slow platform does not grant its claim in time", Label("fault=platform-slow", "step=claim", "step=reply", "holds=once"), func() {
		b := newBench()
		b.journal.claim = func(ctx context.Context, _ shard.Claim) (shard.Result, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		started := time.Now()
		Expect(b.server.Run(ctx, booking(patient), &reader{}).Refusal).To(HaveField("Code", flow.CodePlatformUnavailable))
		Expect(time.Since(started)).To(BeNumerically("<", soon))
		Expect(b.engine.sent()).To(BeEmpty())
	})

	It("gives back a claim that is granted after its deadline", Label("fault=platform-slow", "step=claim", "holds=once"), func() {
		b := newBench()
		grant := make(chan struct{})
		b.journal.claim = func(context.Context, shard.Claim) (shard.Result, error) {
			<-grant
			return shard.Granted{}, nil
		}
		result := b.server.Run(ctx, booking(brief), &reader{})
		Expect(result.Refusal).To(And(HaveField("Code", flow.CodeDeadline), HaveField("Ran", flow.RanUnknown)))
		close(grant)
		var released shard.Release
		Eventually(b.journal.released).Should(Receive(&released))
		Expect(released.Nonce).To(Equal(b.journal.claims[0].Nonce))
		Expect(b.engine.sent()).To(BeEmpty())
	})

	DescribeTable("is sent again only if it surely did not run",
		func(failure error, attempts int, code flow.Code, ran flow.RunState) {
			b := newBench()
			b.engine.calls = append(b.engine.calls, failing(failure), answer)
			result := b.server.Run(ctx, booking(patient), &reader{})
			Expect(b.engine.sent()).To(HaveLen(attempts))
			if code == "" {
				Expect(result.Refusal).To(BeNil())
				Expect(b.journal.outcomes).To(HaveLen(1))
				Expect(b.journal.billed()).To(HaveLen(1))
				return
			}
			Expect(result.Refusal).To(And(HaveField("Code", code), HaveField("Ran", ran)))
			Expect(b.journal.billed()).To(BeEmpty())
		},
		Entry("broken", Label("fault=endpoint-crashed", "fault=endpoint-cut", "fault=endpoint-oneway", "step=dispatch", "step=reply", "holds=once", "holds=refusal"), engine.ErrBroken, 1, flow.CodeOutcomeUnknown, flow.RanUnknown),
		Entry("not sent", Label("fault=endpoint-cut", "step=dispatch", "holds=once"), engine.ErrNotSent, 2, flow.Code(""), flow.RanNo),
		Entry("not run", Label("fault=endpoint-lies", "step=dispatch", "holds=once"), engine.ErrNotRun, 2, flow.Code(""), flow.RanNo),
		Entry("leaving", Label("fault=list-lags", "step=choose", "holds=leaving"), engine.ErrLeaving, 2, flow.Code(""), flow.RanNo),
	)

	It("is recorded as run though its answer is too large to keep, with copies of both records", Label("fault=endpoint-lies", "fault=platform-down", "fault=two", "step=bill", "holds=once", "holds=bill"), func() {
		b := newBench()
		b.journal.broken = shard.ErrQueued
		large := bytes.Repeat([]byte("x"), shard.MaxBodyBytes+1)
		b.engine.calls = append(b.engine.calls, func(context.Context, engine.Run) (engine.Answer, error) {
			return engine.Answer{Status: 200, Body: large}, nil
		})
		Expect(b.server.Run(ctx, booking(patient), &reader{}).Refusal).To(BeNil())
		Expect(b.journal.outcomes).To(HaveLen(1))
		Expect(json.Valid(b.journal.outcomes[0].Body)).To(BeTrue())
		Expect(string(b.journal.outcomes[0].Body)).To(And(ContainSubstring("too large"), ContainSubstring(`"ran":"yes"`)))
		Expect(b.copies.records).To(HaveExactElements(BeAssignableToTypeOf(shard.Outcome{}), BeAssignableToTypeOf(shard.Bill{})))
	})

	It("gives its claim back when the endpoint rejects it", Label("fault=caller-bad", "step=dispatch", "holds=refusal"), func() {
		b := newBench()
		b.engine.calls = append(b.engine.calls, failing(engine.ErrRejected))
		Expect(b.server.Run(ctx, booking(patient), &reader{}).Refusal).To(And(HaveField("Code", flow.CodeInvalid), HaveField("Ran", flow.RanNo)))
		Eventually(b.journal.released).Should(Receive())
	})

	It("runs to its end though its deadline passes, so that a repeat finds its outcome", Label("fault=endpoint-slow", "step=first", "step=reply", "holds=once", "holds=bill"), func() {
		b := newBench()
		finish := make(chan struct{})
		b.engine.calls = append(b.engine.calls, func(ctx context.Context, run engine.Run) (engine.Answer, error) {
			defer GinkgoRecover()
			<-finish
			Expect(ctx.Err()).NotTo(HaveOccurred())
			return answer(ctx, run)
		})
		result := b.server.Run(ctx, booking(brief), &reader{})
		Expect(result.Refusal).To(HaveField("Ran", flow.RanUnknown))
		close(finish)
		Eventually(b.journal.billed).Should(HaveLen(1))
		Expect(b.journal.outcomes).To(HaveLen(1))
		Expect(b.journal.released).NotTo(Receive())
	})

	It("answers a repeat from the record, without sending or billing", Label("fault=router-replaced", "fault=router-killed", "step=claim", "step=reply", "holds=once", "holds=bill"), func() {
		b := newBench()
		b.journal.claim = func(_ context.Context, c shard.Claim) (shard.Result, error) {
			return shard.Taken{By: shard.Claim{Nonce: "other", Fingerprint: c.Fingerprint}, Outcome: &shard.Outcome{Status: 201, Body: []byte("x")}}, nil
		}
		result := b.server.Run(ctx, booking(patient), &reader{})
		Expect(result.Replayed).To(BeTrue())
		Expect(result.Answer.Status).To(Equal(201))
		Expect(b.engine.sent()).To(BeEmpty())
		Expect(b.journal.billed()).To(BeEmpty())
	})

	It("says that the outcome is not known when the router that ran it has died", Label("fault=router-killed", "step=claim", "step=dispatch", "holds=once", "holds=refusal"), func() {
		b := newBench()
		b.journal.claim = func(_ context.Context, c shard.Claim) (shard.Result, error) {
			return shard.Taken{By: shard.Claim{Nonce: "other", Fingerprint: c.Fingerprint}}, nil
		}
		result := b.server.Run(ctx, booking(patient), &reader{})
		Expect(result.Refusal).To(And(HaveField("Code", flow.CodeOutcomeUnknown), HaveField("Ran", flow.RanUnknown)))
		Expect(b.engine.sent()).To(BeEmpty())
	})
})
