package pass_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// trial drives a course by hand: each Place is answered with the next endpoint.
type trial struct {
	course *pass.Course
	sent   []pass.Dispatch
	all    []pass.Action
	next   int
}

func begin(r paths.Route, ladder []ident.ModelID, budget float64) *trial {
	route := r
	if route.TargetLatency == 0 {
		route.TargetLatency = time.Second
	}
	q := pass.Request{ID: "q", Route: &route, Arrived: start, Limit: at(10000), After: pass.NoEvent, Seed: 7}
	t := &trial{course: pass.New(q, ladder, retry.NewWindow(0, budget, time.Hour))}
	t.step(0, pass.Begin{})
	return t
}

func (t *trial) step(ms int, e pass.Event) []pass.Action {
	actions := t.course.Step(at(ms), e)
	t.all = append(t.all, actions...)
	out := actions
	for _, a := range actions {
		switch x := a.(type) {
		case pass.Place:
			e := &world.Endpoint{ID: ident.EndpointID(fmt.Sprintf("e%d", t.next)), Service: "s"}
			t.next++
			out = append(out, t.step(ms, pass.Placed{Attempt: x.Attempt, Endpoint: e, Expected: 50 * time.Millisecond})...)
		case pass.Dispatch:
			t.sent = append(t.sent, x)
		}
	}
	return out
}

func only[T pass.Action](actions []pass.Action) []T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func (t *trial) text() string {
	s := ""
	for _, e := range only[pass.Emit](t.all) {
		s += string(e.Data)
	}
	return s
}

func piece(n pass.Attempt, id int64) pass.Piece {
	return pass.Piece{Attempt: n, ID: id, Data: []byte(fmt.Sprint(id, ";"))}
}

var (
	once   = paths.Route{Kind: paths.KindOnce, MaxAttempts: 3}
	safe   = paths.Route{Kind: paths.KindIdempotent, MaxAttempts: 3}
	stream = paths.Route{Kind: paths.KindStream, Resume: true, MaxAttempts: 3}
	good   = pass.Head{Status: 200, Signed: true, Confidence: -1}
)

var _ = Describe("Course", func() {
	Describe("a request that must not run twice", func() {
		It("is never sent again once it may have run", func() {
			t := begin(once, nil, 10)
			out := t.step(10, pass.Broken{Attempt: 0, Sent: true})
			Expect(t.sent).To(HaveLen(1))
			Expect(only[pass.Refuse](out)).To(ConsistOf(HaveField("Status", 502)))
		})

		It("goes elsewhere if nothing was sent, and is then refused truly", func() {
			t := begin(once, nil, 10)
			for n := range 4 {
				t.step(10, pass.Broken{Attempt: pass.Attempt(n)})
			}
			Expect(t.sent).To(HaveLen(4))
			Expect(only[pass.Refuse](t.all)).To(ConsistOf(And(HaveField("Status", 503), HaveField("After", BeNumerically(">", 0)))))
		})

		It("is refused with 503 if the endpoint says that it did not run", func() {
			r := once
			r.MaxAttempts = 1
			t := begin(r, nil, 10)
			out := t.step(10, pass.Answered{Attempt: 0, Head: pass.Head{Status: 503, NotRun: true}})
			Expect(only[pass.Refuse](out)).To(ConsistOf(HaveField("Status", 503)))
		})

		It("hides a promise that its endpoint did not make", func() {
			t := begin(once, nil, 10)
			out := t.step(10, pass.Answered{Attempt: 0, Head: pass.Head{Status: 503, Signed: true}})
			Expect(only[pass.Refuse](out)).To(ConsistOf(HaveField("Status", 502)))
		})

		It("gets no promise when its time is over while it runs", func() {
			t := begin(once, nil, 10)
			out := t.step(10000, pass.Woken{})
			Expect(only[pass.Refuse](out)).To(ConsistOf(HaveField("Status", 504)))
		})

		It("runs on when its caller leaves", func() {
			t := begin(once, nil, 10)
			out := t.step(10, pass.Left{})
			Expect(only[pass.Cancel](out)).To(BeEmpty())
			Expect(only[pass.Report](out)).To(HaveLen(1))
		})
	})

	Describe("a request that may be repeated", func() {
		It("is sent to another endpoint after a failure, up to the route's attempts", func() {
			t := begin(safe, nil, 10)
			t.step(10, pass.Broken{Attempt: 0, Sent: true})
			t.step(20, pass.Answered{Attempt: 1, Head: pass.Head{Status: 500, Signed: true}})
			out := t.step(30, pass.Answered{Attempt: 2, Head: pass.Head{Status: 500, Signed: true}})
			Expect(t.sent).To(HaveLen(3))
			Expect(only[pass.Reply](out)).To(ConsistOf(pass.Reply{Attempt: 2}))
		})

		It("is not repeated beyond the budget", func() {
			t := begin(safe, nil, 1)
			t.step(10, pass.Broken{Attempt: 0, Sent: true})
			t.step(20, pass.Broken{Attempt: 1, Sent: true})
			Expect(t.sent).To(HaveLen(2))
			Expect(only[pass.Refuse](t.all)).To(ConsistOf(HaveField("Reason", pass.ReasonBudget)))
		})

		It("leaves a silent endpoint, and closes the first attempt before the second", func() {
			t := begin(safe, nil, 10)
			out := t.step(600, pass.Woken{})
			Expect(out[0]).To(Equal(pass.Cancel{Attempt: 0}))
			Expect(t.sent).To(HaveLen(2))
		})

		DescribeTable("takes no answer that is not the endpoint's own", func(h pass.Head) {
			t := begin(safe, nil, 10)
			t.step(10, pass.Answered{Attempt: 0, Head: h})
			Expect(t.sent).To(HaveLen(2))
			Expect(only[pass.Reply](t.all)).To(BeEmpty())
		},
			Entry("without proof", pass.Head{Status: 200}),
			Entry("encoded on the way", pass.Head{Status: 200, Signed: true, Encoded: true}),
			Entry("of another instance", pass.Head{Status: 421, Foreign: true}),
		)

		It("is given up when its caller leaves", func() {
			t := begin(safe, nil, 10)
			Expect(only[pass.Cancel](t.step(10, pass.Left{}))).To(HaveLen(1))
		})
	})

	Describe("a stream", func() {
		It("goes on elsewhere after its last event, without a gap or a repeat", func() {
			t := begin(stream, nil, 10)
			t.step(10, pass.Headed{Attempt: 0, Head: good})
			t.step(11, piece(0, 0))
			t.step(12, piece(0, 1))
			t.step(13, pass.Broken{Attempt: 0, Sent: true})
			Expect(t.sent[1].After).To(Equal(int64(1)))
			t.step(20, pass.Headed{Attempt: 1, Head: good})
			t.step(21, piece(1, 1))
			t.step(22, piece(1, 2))
			out := t.step(23, pass.Ended{Attempt: 1})
			Expect(t.text()).To(Equal("0;1;2;"))
			Expect(only[pass.Close](out)).To(HaveLen(1))
			Expect(only[pass.Open](t.all)).To(HaveLen(1))
		})

		It("does not look complete if it cannot go on", func() {
			r := stream
			r.MaxAttempts = 1
			t := begin(r, nil, 10)
			t.step(10, pass.Headed{Attempt: 0, Head: good})
			t.step(11, piece(0, 0))
			out := t.step(12, pass.Broken{Attempt: 0, Sent: true})
			Expect(only[pass.Abort](out)).To(HaveLen(1))
			Expect(only[pass.Close](t.all)).To(BeEmpty())
		})

		It("is broken off at its limit", func() {
			t := begin(stream, nil, 10)
			t.step(10, pass.Headed{Attempt: 0, Head: good})
			out := t.step(10000, pass.Woken{})
			Expect(only[pass.Cancel](out)).To(HaveLen(1))
			Expect(only[pass.Abort](out)).To(ConsistOf(pass.Abort{Reason: pass.ReasonTimeout}))
		})
	})

	Describe("a cascade", func() {
		ladder := []ident.ModelID{"small", "large"}
		unsure := pass.Head{Status: 200, Signed: true, Confidence: 20}

		It("asks the larger model before anything was passed on", func() {
			t := begin(stream, ladder, 10)
			out := t.step(10, pass.Headed{Attempt: 0, Head: unsure})
			Expect(only[pass.Open](out)).To(BeEmpty())
			Expect(only[pass.Cancel](out)).To(ConsistOf(pass.Cancel{Attempt: 0}))
			Expect(t.sent[1].Model).To(Equal(ident.ModelID("large")))
		})

		It("may ask the larger model at the same endpoint, but not one that failed", func() {
			t := begin(stream, ladder, 10)
			out := t.step(10, pass.Headed{Attempt: 0, Head: unsure})
			Expect(only[pass.Place](out)[0].Exclude).To(BeEmpty())
			out = t.step(20, pass.Broken{Attempt: 1, Sent: true})
			Expect(only[pass.Place](out)[0].Exclude).To(Equal([]ident.EndpointID{"e1"}))
		})

		It("passes on a sure answer, and an unsure one if the budget is used up", func() {
			t := begin(stream, ladder, 10)
			Expect(only[pass.Open](t.step(10, pass.Headed{Attempt: 0, Head: pass.Head{Status: 200, Signed: true, Confidence: 90}}))).To(HaveLen(1))
			t = begin(stream, ladder, 0)
			Expect(only[pass.Open](t.step(10, pass.Headed{Attempt: 0, Head: unsure}))).To(HaveLen(1))
		})

		It("passes on an unsure answer if too little time is left", func() {
			t := begin(stream, ladder, 10)
			Expect(only[pass.Open](t.step(9500, pass.Headed{Attempt: 0, Head: unsure, Next: time.Second}))).To(HaveLen(1))
		})
	})
})

var _ = Describe("Doubt", func() {
	doubt := func(confidence int, next time.Duration) bool {
		return pass.Doubt{Confidence: confidence, Elapsed: 100 * time.Millisecond, Next: next, Objective: 3 * time.Second, Left: 9 * time.Second}.Asks()
	}

	// The load: the larger model's queue grows from nothing to more than the
	// objective, while answers of all degrees of confidence come.
	It("asks the larger model less the longer it would take", func() {
		last := 101
		for _, next := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second} {
			asked := 0
			for confidence := range 101 {
				if doubt(confidence, next) {
					asked++
				}
			}
			Expect(asked).To(BeNumerically("<=", last))
			last = asked
		}
		Expect(doubt(60, 0)).To(BeTrue())
		Expect(doubt(10, 6*time.Second)).To(BeFalse())
	})

	// The load: engines so busy with long prompts that answers are written at a
	// tenth of their usual pace.
	It("does not ask for an answer that would not end in time, and less for one that may not", func() {
		asks := func(confidence int, writing time.Duration) bool {
			return pass.Doubt{Confidence: confidence, Next: time.Second, Writing: writing, Objective: 4 * time.Second, Left: 9 * time.Second}.Asks()
		}
		Expect(asks(30, time.Second)).To(BeTrue())
		Expect(asks(30, 7500*time.Millisecond)).To(BeFalse())
		Expect(asks(0, 8*time.Second)).To(BeFalse())
	})

	It("does not ask what cannot answer in time, nor of an answer that says nothing of itself", func() {
		Expect(doubt(0, 9*time.Second)).To(BeFalse())
		Expect(doubt(-1, 0)).To(BeFalse())
	})
})

var _ = Describe("Return", func() {
	// The load: a burst refused together, whose callers come back as told.
	It("spreads callers who are refused together, the urgent first, within what they accept", func() {
		left := 10 * time.Second
		var urgent, others []time.Duration
		for seed := range uint64(200) {
			urgent = append(urgent, pass.Return(seed<<48, 0, time.Second, left))
			others = append(others, pass.Return(seed<<48, 3, time.Second, left))
		}
		seen := map[time.Duration]bool{}
		for i := range urgent {
			Expect(urgent[i]).To(BeNumerically("<", others[i]))
			Expect(others[i]).To(BeNumerically("<=", left*3/10))
			seen[urgent[i]/(50*time.Millisecond)] = true
		}
		Expect(len(seen)).To(BeNumerically(">=", 8))
	})

	It("never exceeds three tenths of the time left", func() {
		Expect(pass.Return(1<<60, 9, time.Hour, time.Second)).To(Equal(300 * time.Millisecond))
		Expect(pass.Return(1, 0, 0, 0)).To(BeZero())
	})
})
