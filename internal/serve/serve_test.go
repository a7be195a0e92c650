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
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/serve"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// promptReply is the longest time to a reply that does not wait for its deadline.
const promptReply = longDeadline / 10

var _ = Describe("A streamed request", func() {
	ctx := context.Background()

	It("receives all frames of an attempt before its end", Label("fault=frames-late", "step=final", "holds=answer", "holds=bill"), func() {
		const frames = 200
		h := newHarness()
		h.engine.streams = append(h.engine.streams, stream(frames, frames, nil))
		for i := range 100 {
			r, caller := chatRequest(longDeadline), &fakeCaller{}
			r.Key.Request = ident.RequestID(fmt.Sprint("q", i))
			Expect(h.server.Run(ctx, r, caller).Refusal).To(BeNil())
			Expect(caller.received.String()).To(Equal(fullText(frames)))
		}
		Expect(h.engine.sentAttempts()).To(HaveLen(100))
		Expect(h.journal.recordedBills()).To(HaveLen(100))
	})

	It("is refused, without an attempt, for a message that crashes endpoints, and not for any other", func() {
		h := newHarness()
		h.engine.streams = append(h.engine.streams, stream(3, 3, nil))
		chat := func(messages string) flow.Request {
			r := chatRequest(longDeadline)
			r.Key.Request = ident.RequestID(messages)
			r.Body = []byte(`{"model":"condor","messages":[` + messages + `]}`)
			return r
		}
		bad, own := `{"role":"system","content":"bad"}`, `{"role":"user","content":"hola"}`
		part := poison.BodyParts(chat(bad + "," + own).Body)[0]
		view := *h.view.Load()
		view.RefusedParts = poison.RefusedParts{poison.PartFingerprint("condor", part): true}
		h.view.Store(&view)
		result := h.server.Run(ctx, chat(`{"content":"bad", "role":"system"},`+own), &fakeCaller{})
		Expect(result.Refusal).NotTo(BeNil())
		Expect(result.Refusal.Code).To(Equal(flow.CodeCrashesEndpoints))
		Expect(result.Refusal.Ran).To(Equal(flow.RanNo))
		Expect(h.engine.sentAttempts()).To(BeEmpty())
		Expect(h.server.Run(ctx, chat(own+","+bad), &fakeCaller{}).Refusal).To(BeNil(), "as the last message")
		Expect(h.server.Run(ctx, chat(own+","+own), &fakeCaller{}).Refusal).To(BeNil())
	})

	It("tells the control thread the parts of a prompt whose run broke, and when its answer began", func() {
		h := newHarness()
		h.engine.streams = append(h.engine.streams, stream(2, 10, engine.ErrConnectionBroken), stream(10, 10, nil))
		r := chatRequest(longDeadline)
		r.Body = []byte(`{"model":"condor","messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]}`)
		Expect(h.server.Run(ctx, r, &fakeCaller{}).Refusal).To(BeNil())
		runs := h.runEnds()
		Expect(runs).To(HaveLen(2))
		Expect(runs[0].Broke).To(BeTrue())
		Expect(runs[0].Began.IsZero()).To(BeFalse())
		Expect(runs[1].Complete).To(BeTrue())
		for _, run := range runs {
			Expect(run.Service).To(Equal(ident.ServiceID("condor")))
			Expect(run.Parts).To(Equal(poison.BodyParts(r.Body)))
		}
	})

	DescribeTable("is resumed after a failed attempt without duplicate or missing tokens, and is billed once",
		func(received int, failure error, crashes int) {
			h := newHarness()
			h.engine.streams = append(h.engine.streams, stream(received, 10, failure), stream(10, 10, nil))
			caller := &fakeCaller{}
			result := h.server.Run(ctx, chatRequest(longDeadline), caller)
			Expect(result.Refusal).To(BeNil())
			Expect(caller.received.String()).To(Equal(fullText(10)))
			Expect(h.engine.sentAttempts()).To(HaveLen(2))
			Expect(h.engine.sentAttempts()[1].ResumeFrom).To(Equal(received))
			Expect(h.engine.sentAttempts()[1].Address).To(Equal(h.engine.sentAttempts()[0].Address))
			Expect(h.journal.recordedBills()).To(HaveLen(1))
			Expect(h.crashCount()).To(Equal(crashes))
		},
		Entry("before the first frame", Label("fault=endpoint-crashed", "fault=endpoint-cut", "step=dispatch", "step=first", "holds=answer", "holds=bill"), 0, engine.ErrConnectionBroken, 1),
		Entry("mid-stream", Label("fault=endpoint-crashed", "fault=endpoint-cut", "fault=endpoint-oneway", "step=middle", "holds=answer"), 4, engine.ErrConnectionBroken, 1),
		Entry("before the final frame", Label("fault=endpoint-crashed", "step=final"), 9, engine.ErrConnectionBroken, 1),
		Entry("not sent", Label("fault=endpoint-cut", "step=dispatch"), 0, engine.ErrNotSent, 0),
		Entry("overloaded", Label("fault=endpoint-lies", "fault=pool-out", "step=dispatch"), 0, engine.ErrOverloaded, 0),
		Entry("leaving", Label("fault=list-lags", "step=choose", "holds=leaving"), 0, engine.ErrLeaving, 0),
	)

	It("is cancelled on its endpoint when its caller disconnects, and is billed for the forwarded part", Label("fault=caller-bad", "step=middle", "holds=bill"), func() {
		h := newHarness()
		cancelled := make(chan struct{})
		h.engine.streams = append(h.engine.streams, func(ctx context.Context, attempt engine.Attempt, emit func(engine.Frame) error) error {
			_ = stream(3, 10, nil)(ctx, attempt, emit)
			<-ctx.Done()
			close(cancelled)
			return ctx.Err()
		})
		ctx, disconnect := context.WithCancel(ctx)
		result := h.server.Run(ctx, chatRequest(longDeadline), &fakeCaller{onText: disconnect})
		Expect(result.Refusal).To(HaveField("Code", flow.CodeCallerGone))
		Eventually(cancelled).Should(BeClosed())
		Eventually(h.journal.recordedBills).Should(HaveLen(1))
		Eventually(h.server.InProgress).Should(BeZero())
		Expect(h.crashCount()).To(BeZero())
	})

	It("buffers a bounded number of frames for a slow caller", Label("fault=caller-bad", "step=middle", "holds=answer"), func() {
		const frames, buffer = 2000, 64
		h := newHarness()
		var emitted atomic.Int64
		h.engine.streams = append(h.engine.streams, func(ctx context.Context, attempt engine.Attempt, emit func(engine.Frame) error) error {
			return stream(frames, frames, nil)(ctx, attempt, func(f engine.Frame) error {
				emitted.Add(1)
				return emit(f)
			})
		})
		read := make(chan struct{})
		caller := &fakeCaller{onText: func() { <-read }}
		done := make(chan flow.Result)
		go func() { done <- h.server.Run(ctx, chatRequest(longDeadline), caller) }()
		Eventually(emitted.Load).Should(BeNumerically(">=", buffer))
		Consistently(emitted.Load, "100ms").Should(BeNumerically("<=", buffer+3))
		close(read)
		Eventually(done).Should(Receive(HaveField("Refusal", BeNil())))
		Expect(caller.received.String()).To(Equal(fullText(frames)))
	})

	It("is cancelled when its permit expires, and is resumed with a new permit", Label("fault=lease-lapsed", "fault=endpoint-cold", "step=middle", "holds=cold"), func() {
		h := newHarness()
		h.publish(makeCold)
		expiry := make(chan struct{})
		h.permits.expiry = expiry
		h.engine.streams = append(h.engine.streams, func(ctx context.Context, attempt engine.Attempt, emit func(engine.Frame) error) error {
			_ = stream(3, 10, nil)(ctx, attempt, emit)
			close(expiry)
			<-ctx.Done()
			return ctx.Err()
		}, stream(10, 10, nil))
		caller := &fakeCaller{}
		Expect(h.server.Run(ctx, chatRequest(longDeadline), caller).Refusal).To(BeNil())
		Expect(caller.received.String()).To(Equal(fullText(10)))
		Eventually(h.permits.released).Should(HaveLen(2))
		Expect(h.crashCount()).To(BeZero())
	})

	DescribeTable("is never sent to a cold endpoint without a valid permit",
		func(change func(*harness)) {
			h := newHarness()
			h.publish(makeCold)
			change(h)
			result := h.server.Run(ctx, chatRequest(shortDeadline), &fakeCaller{})
			Expect(result.Refusal).To(HaveField("Ran", flow.RanNo))
			Expect(h.engine.sentAttempts()).To(BeEmpty())
		},
		Entry("denied", Label("fault=endpoint-cold", "fault=pool-out", "step=choose", "holds=cold", "holds=refusal"), func(h *harness) {
			h.permits.onAcquire = func() error { return &serve.PermitDeniedError{Reason: "full", RetryAfter: time.Second} }
		}),
		Entry("no steward", Label("fault=peer-cut", "fault=peer-slow", "fault=peer-oneway", "step=choose", "holds=cold"), func(h *harness) {
			h.permits.onAcquire = func() error { return errors.New("unreachable") }
		}),
		Entry("expired before the attempt is sent", Label("fault=lease-lapsed", "fault=router-frozen", "step=dispatch", "holds=cold"), func(h *harness) { h.permits.expired = true }),
	)

	DescribeTable("is not sent if its version is withdrawn after admission",
		func(arrange func(*harness, *flow.Request)) {
			h := newHarness()
			r := chatRequest(longDeadline)
			arrange(h, &r)
			started := time.Now()
			result := h.server.Run(ctx, r, &fakeCaller{})
			Expect(result.Refusal).To(And(HaveField("Code", flow.CodeWithdrawn), HaveField("Ran", flow.RanNo)))
			Expect(h.engine.sentAttempts()).To(BeEmpty())
			Expect(time.Since(started)).To(BeNumerically("<", promptReply))
		},
		Entry("while its session is bound", Label("fault=version-bad", "step=choose", "step=withdraw", "holds=withdrawn", "holds=refusal"), func(h *harness, r *flow.Request) {
			r.Version, r.Session = "", "s"
			h.journal.bind = func(binding shard.Binding) (ident.VersionID, error) {
				h.publish(withdrawAll)
				return binding.Version, nil
			}
		}),
		Entry("while it waits for a permit", Label("fault=version-bad", "fault=endpoint-cold", "fault=two", "step=dispatch", "holds=withdrawn"), func(h *harness, _ *flow.Request) {
			h.publish(makeCold)
			h.permits.onAcquire = func() error {
				h.publish(func(s *fleet.Snapshot) { makeCold(s); withdrawAll(s) })
				return nil
			}
		}),
	)

	DescribeTable("is refused promptly, not at its deadline",
		func(code flow.Code, ran flow.RunState, arrange func(*harness)) {
			h := newHarness()
			arrange(h)
			started := time.Now()
			result := h.server.Run(ctx, chatRequest(longDeadline), &fakeCaller{})
			Expect(result.Refusal).To(And(HaveField("Code", code), HaveField("Ran", ran), HaveField("RetryAfter", BeNumerically(">", 0))))
			Expect(time.Since(started)).To(BeNumerically("<", promptReply))
			Expect(h.journal.recordedBills()).To(BeEmpty())
		},
		Entry("no endpoint serves it", Label("fault=pool-out", "step=choose", "step=reply", "holds=refusal"), flow.CodeNoCapacity, flow.RanNo, func(h *harness) {
			h.publish(func(s *fleet.Snapshot) { clear(s.Endpoints) })
		}),
		Entry("its zone is out", Label("fault=pool-out", "step=zone-out", "holds=zone"), flow.CodeNoCapacity, flow.RanNo, func(h *harness) {
			h.publish(func(s *fleet.Snapshot) { s.Config.Zones["a"].Out = true })
		}),
		Entry("every endpoint crashes", Label("fault=endpoint-crashed", "step=dispatch", "step=reply", "holds=refusal"), flow.CodeEndpointFailed, flow.RanUnknown, func(h *harness) {
			h.engine.streams = append(h.engine.streams, stream(0, 1, engine.ErrConnectionBroken))
		}),
		Entry("every endpoint refuses", Label("fault=endpoint-lies", "step=reply", "holds=refusal"), flow.CodeEndpointFailed, flow.RanNo, func(h *harness) {
			h.engine.streams = append(h.engine.streams, stream(0, 1, engine.ErrNotRun))
		}),
	)

	It("does not run on an expired view", Label("fault=router-frozen", "step=choose", "holds=withdrawn", "holds=refusal"), func() {
		h := newHarness()
		h.publish(func(s *fleet.Snapshot) { s.ExpiresAt = time.Now() })
		result := h.server.Run(ctx, chatRequest(shortDeadline), &fakeCaller{})
		Expect(result.Refusal).To(HaveField("Ran", flow.RanNo))
		Expect(h.engine.sentAttempts()).To(BeEmpty())
	})

	It("uses the version recorded in the journal for its session, on every router", Label("fault=router-replaced", "step=choose", "holds=session"), func() {
		for range 2 {
			h := newHarness()
			h.engine.streams = append(h.engine.streams, stream(1, 1, nil))
			h.journal.bind = func(shard.Binding) (ident.VersionID, error) { return "2", nil }
			r := chatRequest(longDeadline)
			r.Version, r.Session = "", "s"
			Expect(h.server.Run(ctx, r, &fakeCaller{}).Release).To(Equal(candidate))
		}
	})

	It("gets the same version on every router while the platform is down", Label("fault=platform-down", "fault=platform-slow", "fault=platform-stale", "step=choose", "holds=session"), func() {
		harnesses := []*harness{newHarness(), newHarness()}
		for i := range 20 {
			var releases [2]ident.Release
			for k, h := range harnesses {
				h.engine.streams = append(h.engine.streams, stream(1, 1, nil))
				h.journal.bind = func(shard.Binding) (ident.VersionID, error) { return "", errors.New("unavailable") }
				r := chatRequest(longDeadline)
				r.Version, r.Session = "", ident.SessionID(fmt.Sprint("s", i))
				releases[k] = h.server.Run(ctx, r, &fakeCaller{}).Release
			}
			Expect(releases[0]).To(Equal(releases[1]))
		}
	})

	It("is answered while its bill is queued for the platform", Label("fault=platform-down", "fault=platform-lost", "step=bill", "step=reply", "holds=bill"), func() {
		h := newHarness()
		h.engine.streams = append(h.engine.streams, stream(3, 3, nil))
		h.journal.writeError = shard.ErrQueued
		Expect(h.server.Run(ctx, chatRequest(longDeadline), &fakeCaller{}).Refusal).To(BeNil())
		Expect(h.journal.recordedBills()).To(HaveLen(1))
	})

	DescribeTable("is answered once its bill is stored or storing it has failed",
		func(journal, peers error, copied int, state string) {
			h := newHarness()
			h.engine.streams = append(h.engine.streams, stream(3, 3, nil))
			h.journal.writeError, h.copier.copyError = journal, peers
			Expect(h.server.Run(ctx, chatRequest(longDeadline), &fakeCaller{}).Refusal).To(BeNil())
			Expect(h.copier.records).To(HaveLen(copied))
			var text strings.Builder
			Expect(h.server.Metrics.Expose(&text)).To(Succeed())
			Expect(text.String()).To(MatchRegexp(`bills_total\{[^}]*state="` + state + `"[^}]*\} 1`))
		},
		Entry("durable", nil, nil, 0, "durable"),
		Entry("copied", Label("fault=platform-down", "step=bill", "step=reply", "holds=bill"), shard.ErrQueued, nil, 1, "copied"),
		Entry("no peer available", Label("fault=platform-down", "fault=peer-cut", "fault=two", "step=bill", "step=reply", "holds=bill"), shard.ErrQueued, errors.New("unreachable"), 1, "queued"),
		Entry("failed", shard.ErrFull, nil, 0, "failed"),
	)
})

var _ = Describe("A non-idempotent request", func() {
	ctx := context.Background()
	answer := func(context.Context, engine.Attempt) (engine.Answer, error) {
		return engine.Answer{Status: 200, Body: []byte(`{}`)}, nil
	}
	failing := func(err error) func(context.Context, engine.Attempt) (engine.Answer, error) {
		return func(context.Context, engine.Attempt) (engine.Answer, error) { return engine.Answer{}, err }
	}

	It("is refused promptly if its key cannot be claimed, and nothing is sent", Label("fault=platform-down", "fault=platform-cut", "fault=platform-oneway", "step=claim", "step=reply", "holds=refusal", "holds=once"), func() {
		h := newHarness()
		h.journal.claim = func(context.Context, shard.Claim) (shard.Result, error) { return nil, errors.New("unavailable") }
		started := time.Now()
		result := h.server.Run(ctx, bookingRequest(longDeadline), &fakeCaller{})
		Expect(result.Refusal).To(And(HaveField("Code", flow.CodePlatformUnavailable), HaveField("Ran", flow.RanUnknown), HaveField("RetryAfter", BeNumerically(">=", time.Second))))
		Expect(time.Since(started)).To(BeNumerically("<", promptReply))
		Expect(h.engine.sentAttempts()).To(BeEmpty())
	})

	It("is refused if a slow platform does not grant its claim in time", Label("fault=platform-slow", "step=claim", "step=reply", "holds=once"), func() {
		h := newHarness()
		h.journal.claim = func(ctx context.Context, _ shard.Claim) (shard.Result, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		started := time.Now()
		Expect(h.server.Run(ctx, bookingRequest(longDeadline), &fakeCaller{}).Refusal).To(HaveField("Code", flow.CodePlatformUnavailable))
		Expect(time.Since(started)).To(BeNumerically("<", promptReply))
		Expect(h.engine.sentAttempts()).To(BeEmpty())
	})

	It("releases a claim that is granted after its deadline", Label("fault=platform-slow", "step=claim", "holds=once"), func() {
		h := newHarness()
		grant := make(chan struct{})
		h.journal.claim = func(context.Context, shard.Claim) (shard.Result, error) {
			<-grant
			return shard.Granted{}, nil
		}
		result := h.server.Run(ctx, bookingRequest(shortDeadline), &fakeCaller{})
		Expect(result.Refusal).To(And(HaveField("Code", flow.CodeDeadline), HaveField("Ran", flow.RanUnknown)))
		close(grant)
		var released shard.Release
		Eventually(h.journal.released).Should(Receive(&released))
		Expect(released.Nonce).To(Equal(h.journal.claims[0].Nonce))
		Expect(h.engine.sentAttempts()).To(BeEmpty())
	})

	DescribeTable("is retried only if it certainly did not run",
		func(failure error, attempts int, code flow.Code, ran flow.RunState) {
			h := newHarness()
			h.engine.calls = append(h.engine.calls, failing(failure), answer)
			result := h.server.Run(ctx, bookingRequest(longDeadline), &fakeCaller{})
			Expect(h.engine.sentAttempts()).To(HaveLen(attempts))
			if code == "" {
				Expect(result.Refusal).To(BeNil())
				Expect(h.journal.outcomes).To(HaveLen(1))
				Expect(h.journal.recordedBills()).To(HaveLen(1))
				return
			}
			Expect(result.Refusal).To(And(HaveField("Code", code), HaveField("Ran", ran)))
			Expect(h.journal.recordedBills()).To(BeEmpty())
		},
		Entry("connection broken", Label("fault=endpoint-crashed", "fault=endpoint-cut", "fault=endpoint-oneway", "step=dispatch", "step=reply", "holds=once", "holds=refusal"), engine.ErrConnectionBroken, 1, flow.CodeOutcomeUnknown, flow.RanUnknown),
		Entry("not sent", Label("fault=endpoint-cut", "step=dispatch", "holds=once"), engine.ErrNotSent, 2, flow.Code(""), flow.RanNo),
		Entry("not run", Label("fault=endpoint-lies", "step=dispatch", "holds=once"), engine.ErrNotRun, 2, flow.Code(""), flow.RanNo),
		Entry("leaving", Label("fault=list-lags", "step=choose", "holds=leaving"), engine.ErrLeaving, 2, flow.Code(""), flow.RanNo),
	)

	It("is recorded as run even if its answer is too large to store, and both records are copied", Label("fault=endpoint-lies", "fault=platform-down", "fault=two", "step=bill", "holds=once", "holds=bill"), func() {
		h := newHarness()
		h.journal.writeError = shard.ErrQueued
		large := bytes.Repeat([]byte("x"), shard.MaxBodyBytes+1)
		h.engine.calls = append(h.engine.calls, func(context.Context, engine.Attempt) (engine.Answer, error) {
			return engine.Answer{Status: 200, Body: large}, nil
		})
		Expect(h.server.Run(ctx, bookingRequest(longDeadline), &fakeCaller{}).Refusal).To(BeNil())
		Expect(h.journal.outcomes).To(HaveLen(1))
		Expect(json.Valid(h.journal.outcomes[0].Body)).To(BeTrue())
		Expect(string(h.journal.outcomes[0].Body)).To(And(ContainSubstring("too large"), ContainSubstring(`"ran":"yes"`)))
		Expect(h.copier.records).To(HaveExactElements(BeAssignableToTypeOf(shard.Outcome{}), BeAssignableToTypeOf(shard.Bill{})))
	})

	It("releases its claim when the endpoint rejects it", Label("fault=caller-bad", "step=dispatch", "holds=refusal"), func() {
		h := newHarness()
		h.engine.calls = append(h.engine.calls, failing(engine.ErrRejected))
		Expect(h.server.Run(ctx, bookingRequest(longDeadline), &fakeCaller{}).Refusal).To(And(HaveField("Code", flow.CodeInvalid), HaveField("Ran", flow.RanNo)))
		Eventually(h.journal.released).Should(Receive())
	})

	It("runs to completion after its deadline, so that a retry finds its outcome", Label("fault=endpoint-slow", "step=first", "step=reply", "holds=once", "holds=bill"), func() {
		h := newHarness()
		finish := make(chan struct{})
		h.engine.calls = append(h.engine.calls, func(ctx context.Context, attempt engine.Attempt) (engine.Answer, error) {
			defer GinkgoRecover()
			<-finish
			Expect(ctx.Err()).NotTo(HaveOccurred())
			return answer(ctx, attempt)
		})
		result := h.server.Run(ctx, bookingRequest(shortDeadline), &fakeCaller{})
		Expect(result.Refusal).To(HaveField("Ran", flow.RanUnknown))
		close(finish)
		Eventually(h.journal.recordedBills).Should(HaveLen(1))
		Expect(h.journal.outcomes).To(HaveLen(1))
		Expect(h.journal.released).NotTo(Receive())
	})

	It("is answered from the recorded outcome when retried, without being sent or billed", Label("fault=router-replaced", "fault=router-killed", "step=claim", "step=reply", "holds=once", "holds=bill"), func() {
		h := newHarness()
		h.journal.claim = func(_ context.Context, c shard.Claim) (shard.Result, error) {
			return shard.Taken{By: shard.Claim{Nonce: "other", Fingerprint: c.Fingerprint}, Outcome: &shard.Outcome{Status: 201, Body: []byte("x")}}, nil
		}
		result := h.server.Run(ctx, bookingRequest(longDeadline), &fakeCaller{})
		Expect(result.Replayed).To(BeTrue())
		Expect(result.Answer.Status).To(Equal(201))
		Expect(h.engine.sentAttempts()).To(BeEmpty())
		Expect(h.journal.recordedBills()).To(BeEmpty())
	})

	It("is refused with an unknown outcome if the router that ran it has died", Label("fault=router-killed", "step=claim", "step=dispatch", "holds=once", "holds=refusal"), func() {
		h := newHarness()
		h.journal.claim = func(_ context.Context, c shard.Claim) (shard.Result, error) {
			return shard.Taken{By: shard.Claim{Nonce: "other", Fingerprint: c.Fingerprint}}, nil
		}
		result := h.server.Run(ctx, bookingRequest(longDeadline), &fakeCaller{})
		Expect(result.Refusal).To(And(HaveField("Code", flow.CodeOutcomeUnknown), HaveField("Ran", flow.RanUnknown)))
		Expect(h.engine.sentAttempts()).To(BeEmpty())
	})
})
