package flow_test

import (
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// held runs a request up to an action, whose answer stays out, and gives that
// answer.
func held(r flow.Request, at flow.Action) (*world, []flow.Event) {
	w := newSmooth(r)
	smooth := w.asks
	var late []flow.Event
	w.asks = func(a flow.Action) []flow.Event {
		if reflect.TypeOf(a) != reflect.TypeOf(at) {
			return smooth(a)
		}
		if _, place := a.(flow.SelectEndpoint); place {
			late = []flow.Event{flow.EndpointSelected{Endpoint: endpoint("e1"), Cold: true}}
			return nil
		}
		late = smooth(a)
		return nil
	}
	w.step(flow.Start{})
	w.drain()
	return w, late
}

var _ = Describe("A request", func() {
	DescribeTable("that ends while an answer is out is answered at once, and gives back what comes late",
		func(r flow.Request, at flow.Action, end flow.Event, code flow.Code) {
			w, late := held(r, at)
			Expect(late).NotTo(BeEmpty())
			w.step(end)
			Expect(w.replies).To(HaveLen(1))
			Expect(w.replies[0].Refusal.Code).To(Equal(code))
			var after []flow.Action
			for _, e := range late {
				after = append(after, w.flow.Step(w.now, e)...)
			}
			switch at.(type) {
			case flow.ClaimKey:
				Expect(after).To(Equal([]flow.Action{flow.ReleaseKey{}}))
			case flow.SelectEndpoint:
				Expect(after).To(HaveExactElements(BeAssignableToTypeOf(flow.ReleaseSlot{})))
			default:
				Expect(after).To(BeEmpty())
			}
			Expect(w.flow.Done()).To(BeTrue())
			Expect(w.sent).To(BeEmpty())
			Expect(w.settles).To(BeEmpty())
			Expect(w.fails).To(BeEmpty())
		},
		Entry("caller leaves at admission", Label("fault=caller-bad", "step=admit"), chat(), flow.RequestAdmission{}, flow.CallerGone{}, flow.CodeCallerGone),
		Entry("caller leaves at the plan", Label("fault=caller-bad", "step=choose"), chat(), flow.PlanModels{}, flow.CallerGone{}, flow.CodeCallerGone),
		Entry("caller leaves at the binding", Label("fault=caller-bad", "step=choose"), chat(), flow.ResolveVersion{}, flow.CallerGone{}, flow.CodeCallerGone),
		Entry("caller leaves at the claim", Label("fault=caller-bad", "step=claim", "holds=once"), booking(), flow.ClaimKey{}, flow.CallerGone{}, flow.CodeCallerGone),
		Entry("caller leaves at the guard", Label("fault=caller-bad", "step=choose"), chat(), flow.CheckBody{}, flow.CallerGone{}, flow.CodeCallerGone),
		Entry("caller leaves at the choice", Label("fault=caller-bad", "fault=endpoint-cold", "step=choose", "holds=cold"), chat(), flow.SelectEndpoint{}, flow.CallerGone{}, flow.CodeCallerGone),
		Entry("caller of a booking leaves at the choice", Label("fault=caller-bad", "step=choose", "holds=cold"), booking(), flow.SelectEndpoint{}, flow.CallerGone{}, flow.CodeCallerGone),
		Entry("deadline passes at admission", Label("fault=pool-out", "step=admit", "holds=refusal"), chat(), flow.RequestAdmission{}, flow.DeadlineExceeded{}, flow.CodeDeadline),
		Entry("deadline passes at the binding", Label("fault=platform-slow", "step=choose", "holds=refusal"), chat(), flow.ResolveVersion{}, flow.DeadlineExceeded{}, flow.CodeDeadline),
		Entry("deadline passes at the claim", Label("fault=platform-slow", "step=claim", "holds=refusal", "holds=once"), booking(), flow.ClaimKey{}, flow.DeadlineExceeded{}, flow.CodeDeadline),
		Entry("deadline passes at the guard", Label("fault=peer-slow", "fault=peer-cut", "step=choose", "holds=refusal"), chat(), flow.CheckBody{}, flow.DeadlineExceeded{}, flow.CodeDeadline),
		Entry("deadline passes at the choice", Label("fault=peer-slow", "fault=endpoint-cold", "step=choose", "holds=refusal", "holds=cold"), chat(), flow.SelectEndpoint{}, flow.DeadlineExceeded{}, flow.CodeDeadline),
	)

	DescribeTable("that ends mid-stream cancels its attempt, says that it ran, and is billed for what was passed on, once or not at all",
		func(seen int, end flow.Event, code flow.Code, bills int) {
			w := newSmooth(chat())
			w.step(flow.Start{})
			w.drain()
			id := openIDs(w)[0]
			for n := range seen {
				w.step(w.frame(id, n, frames))
			}
			actions := w.flow.Step(w.now, end)
			Expect(actions).To(ContainElement(flow.Cancel{Attempt: id}))
			for _, a := range actions {
				w.do(a)
			}
			Expect(w.replies[0].Refusal.Code).To(Equal(code))
			Expect(w.replies[0].Refusal.Ran).NotTo(Equal(flow.RanNo))
			w.step(w.frame(id, seen, frames))
			w.end(id, engine.ErrBroken)
			Expect(w.settles).To(HaveLen(bills))
			Expect(w.flow.Done()).To(BeTrue())
			Expect(w.fails).To(BeEmpty())
		},
		Entry("caller leaves before the first token", Label("fault=caller-bad", "step=dispatch", "step=first", "holds=bill"), 0, flow.CallerGone{}, flow.CodeCallerGone, 0),
		Entry("caller leaves mid-stream", Label("fault=caller-bad", "step=middle", "holds=bill"), 2, flow.CallerGone{}, flow.CodeCallerGone, 1),
		Entry("caller leaves before the final frame", Label("fault=caller-bad", "step=final", "holds=bill"), frames-1, flow.CallerGone{}, flow.CodeCallerGone, 1),
		Entry("deadline passes before the first token", Label("fault=endpoint-slow", "fault=endpoint-oneway", "step=first", "holds=refusal"), 0, flow.DeadlineExceeded{}, flow.CodeDeadline, 0),
		Entry("deadline passes mid-stream", Label("fault=endpoint-slow", "fault=endpoint-oneway", "step=middle", "holds=refusal"), 2, flow.DeadlineExceeded{}, flow.CodeDeadline, 0),
		Entry("deadline passes before the final frame", Label("fault=endpoint-slow", "fault=endpoint-oneway", "step=final", "holds=refusal"), frames-1, flow.DeadlineExceeded{}, flow.CodeDeadline, 0),
	)

	DescribeTable("whose whole answer waits for its bill is answered and billed once, whatever ends then",
		func(end flow.Event) {
			w, _ := held(chat(), flow.RecordBill{})
			id := openIDs(w)[0]
			for n := range frames {
				w.step(w.frame(id, n, frames))
			}
			Expect(w.replies).To(BeEmpty())
			w.step(end)
			w.end(id, nil)
			w.step(flow.BillRecorded{Durable: true})
			Expect(w.replies).To(ConsistOf(HaveField("Refusal", BeNil())))
			Expect(w.settles).To(HaveLen(1))
			Expect(w.fails).To(BeEmpty())
		},
		Entry("caller leaves", Label("fault=caller-bad", "step=bill", "step=reply", "holds=bill"), flow.CallerGone{}),
		Entry("deadline passes", Label("fault=platform-slow", "step=bill", "step=reply", "holds=bill"), flow.DeadlineExceeded{}),
		Entry("endpoint breaks", Label("fault=endpoint-crashed", "step=reply", "holds=bill"), flow.AttemptEnded{Attempt: "r1.0.0", Error: engine.ErrBroken}),
	)

	DescribeTable("goes on to a better model when a version answers badly, before anything is passed on",
		func(empty bool) {
			w := newSmooth(chat())
			smooth := w.asks
			w.asks = func(a flow.Action) []flow.Event {
				switch a.(type) {
				case flow.PlanModels:
					return []flow.Event{flow.ModelsPlanned{Steps: []flow.CascadeStep{{Model: "quena", RatedBefore: true}, {Index: 1, Model: "condor"}}}}
				case flow.RateAnswer:
					return []flow.Event{flow.AnswerRated{Accept: empty}}
				}
				return smooth(a)
			}
			w.step(flow.Start{})
			w.drain()
			first := openIDs(w)[0]
			f := w.frame(first, 0, 1)
			if empty {
				f.Frame.Text = ""
			}
			w.step(f)
			w.drain()
			Expect(w.opens).To(BeZero())
			w.end(first, nil)
			for n := range frames {
				w.step(w.frame(openIDs(w)[0], n, frames))
			}
			w.drain()
			Expect(w.text.String()).To(Equal(whole(frames)))
			Expect(w.replies).To(ConsistOf(HaveField("Meta.Release", ident.Release{Model: "condor", Version: "1"})))
			Expect(w.settles).To(HaveLen(1))
			Expect(w.fails).To(BeEmpty())
		},
		Entry("empty", Label("fault=version-bad", "step=final", "holds=answer", "holds=bill"), true),
		Entry("rated low", Label("fault=version-bad", "step=rate", "holds=answer", "holds=bill"), false),
	)

	DescribeTable("whose body has crashed endpoints is refused with the truth on what ran",
		func(seen int, ran flow.RunState) {
			w := newSmooth(chat())
			smooth := w.asks
			guards := 0
			w.asks = func(a flow.Action) []flow.Event {
				if _, guard := a.(flow.CheckBody); guard {
					guards++
					return []flow.Event{flow.BodyChecked{Allowed: guards <= 2, Refused: guards > 2}}
				}
				return smooth(a)
			}
			w.step(flow.Start{})
			w.drain()
			for len(w.open) > 0 {
				id := openIDs(w)[0]
				for n := w.open[id].ResumeFrom; n < seen; n++ {
					w.step(w.frame(id, n, frames))
				}
				w.end(id, engine.ErrBroken)
			}
			Expect(w.sent).To(HaveLen(2))
			Expect(w.replies).To(ConsistOf(HaveField("Refusal", And(HaveField("Code", flow.CodeCrashesEndpoints), HaveField("Ran", ran)))))
			Expect(w.fails).To(BeEmpty())
		},
		Entry("before the first token", Label("fault=poison", "step=first", "step=reply", "holds=refusal"), 0, flow.RanUnknown),
		Entry("mid-stream", Label("fault=poison", "step=middle", "step=reply", "holds=refusal"), 2, flow.RanYes),
	)
})
