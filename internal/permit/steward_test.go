package permit_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/permit"
)

// tight settings make each duration a few steps of the search.
func tight() permit.Settings {
	return permit.Settings{
		LeaseDuration: 2 * time.Second, RenewInterval: time.Second, StartTimeout: time.Second, RunTimeout: 3 * time.Second,
	}
}

// lead makes a router the steward that has counted the endpoint.
func lead(w *world, r *router) {
	w.read(r)
	w.tick(r)
	w.write(r)
	w.answer(r, false)
	w.see(r, 0)
}

var _ = Describe("Steward", func() {
	DescribeTable("hands out no more than the cold slots in any interleaving up to a depth", func(start string, lying bool) {
		const depth = 6
		seen, paths := map[string]bool{}, [][]byte{nil}
		for range depth {
			var next [][]byte
			for _, path := range paths {
				for op := range byte(operations) {
					longer := append(append([]byte(nil), path...), op)
					w, applied := replay(start, lying, longer)
					if !applied {
						continue
					}
					if bad := w.check(); bad != "" {
						Fail(fmt.Sprintf("%s after %s %s", bad, start, describe(longer)))
					}
					if state := w.state(); !seen[state] {
						seen[state] = true
						next = append(next, longer)
					}
				}
			}
			paths = next
		}
		GinkgoWriter.Printf("%s, lying %v: %d states\n", start, lying, len(seen))
	},
		Entry("from an idle endpoint", "", false),
		Entry("with a permit on its way", "ask.1 serve.0", false),
		Entry("with a permit on its way as the lease lapses", "ask.1 serve.0 time tick.1", false),
		Entry("with a run that may outlive its permit", "ask.1 serve.0 grant.1 time time", false),
		Entry("with a new steward", "ask.1 serve.0 grant.1 time time tick.1 commit.1", false),
		Entry("with reports that count nothing", "ask.1 serve.0 grant.1 time time", true),
	)

	It("hands out no more than the cold slots under any faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(permit.DefaultSettings(), 2, 1)
			w.lying = rapid.Bool().Draw(t, "lying")
			for i := range rapid.IntRange(10, 60).Draw(t, "steps") {
				randomStep(t, w, i)
				if bad := w.check(); bad != "" {
					t.Fatalf("%s after %s", bad, strings.Join(w.trace, ", "))
				}
			}
		})
	})

	It("grants while it holds, and hands a clean lease over without a wait", func() {
		w := newWorld(permit.DefaultSettings(), 2, coldSlots)
		first, second := w.routers[0], w.routers[1]
		w.see(second, 0)
		w.now = w.now.Add(w.settings.PropagationDelay)
		lead(w, first)
		w.now = w.now.Add(w.settings.ReportLag + w.settings.PropagationDelay)
		w.see(first, 0)
		w.tick(first)
		w.write(first)
		w.answer(first, false)
		w.ask(second, first)
		w.serve(first)
		w.grant(second)
		Expect(w.running).To(HaveLen(1))
		w.step(first, permit.Stop{})
		Expect(w.write(first)).To(BeFalse(), "a permit is in use")
		w.end(second)
		w.write(first)
		Expect(w.lease.Clean).To(BeTrue())
		lead(w, second)
		Expect(second.steward.HoldsLease(w.clock(second))).To(BeTrue())
		w.now = w.now.Add(w.settings.ReportLag)
		w.see(second, 0)
		w.ask(first, second)
		w.serve(second)
		Expect(first.grants).To(HaveLen(1), "it need not wait for permits of its predecessor")
	})

	DescribeTable("denies", func(reason permit.Reason, spoil func(w *world, r *router)) {
		w := newWorld(permit.DefaultSettings(), 1, 1)
		r := w.routers[0]
		lead(w, r)
		spoil(w, r)
		q := permit.Request{Router: "x", Attempt: "a", Endpoint: endpointID}
		Expect(r.steward.Step(w.clock(r), q)).To(ContainElement(HaveField("Reason", reason)))
	},
		Entry("when its lease has lapsed", permit.ReasonNotSteward, func(w *world, _ *router) { w.now = w.now.Add(time.Minute) }),
		Entry("when it is stopping", permit.ReasonNotSteward, func(w *world, r *router) { w.step(r, permit.Stop{}) }),
		Entry("before warm work is counted", permit.ReasonUncounted, func(*world, *router) {}),
		Entry("while a report may tell of a time when warm work still came", permit.ReasonUncounted, func(w *world, r *router) {
			w.pass(w.settings.PropagationDelay + w.settings.ReportLag - 1)
			w.see(r, 0)
		}),
		Entry("for a warm endpoint", permit.ReasonNotCold, func(w *world, r *router) {
			w.warm = true
			w.see(r, 0)
		}),
		Entry("when work sent while warm fills the slots", permit.ReasonFull, func(w *world, r *router) {
			w.sendWarm("a")
			w.now = w.now.Add(w.settings.PropagationDelay + w.settings.ReportLag)
			w.see(r, 0)
			w.tick(r)
			w.write(r)
			w.answer(r, false)
		}),
	)

	It("counts anew in a term after another router's", func() {
		w := newWorld(permit.DefaultSettings(), 2, 1)
		first, second := w.routers[0], w.routers[1]
		lead(w, first)
		w.pass(w.settings.PropagationDelay + w.settings.ReportLag)
		w.see(first, 0)
		w.read(second)
		w.pass(w.settings.LeaseDuration)
		lead(w, second)
		w.pass(w.settings.LeaseDuration + w.settings.PermitLifetime())
		w.read(first)
		w.pass(w.settings.LeaseDuration)
		w.tick(first)
		w.write(first)
		w.answer(first, false)
		Expect(first.steward.HoldsLease(w.clock(first))).To(BeTrue())
		w.ask(second, first)
		w.pass(w.settings.PermitLifetime() + w.settings.SafetyMargin)
		w.tick(first)
		w.write(first)
		w.answer(first, false)
		w.serve(first)
		Expect(second.grants).To(BeEmpty(), "what the second router let run is not known")
	})

	It("gives up no lease as clean while an earlier holder's permits may be in use", func() {
		w := newWorld(permit.DefaultSettings(), 2, 1)
		lead(w, w.routers[0])
		w.read(w.routers[1])
		w.pass(w.settings.LeaseDuration)
		lead(w, w.routers[1])
		w.step(w.routers[1], permit.Stop{})
		w.write(w.routers[1])
		Expect(w.lease.Clean).To(BeFalse())
	})

	It("ignores versions and answers older than what it has seen", func() {
		w := newWorld(permit.DefaultSettings(), 2, 1)
		r := w.routers[0]
		w.read(r)
		w.tick(r)
		w.write(r)
		old := permit.LeaseRead{Lease: w.lease, Version: w.version}
		newer := permit.Lease{Holder: "x", Term: 9}
		w.step(r, permit.LeaseRead{Lease: newer, Version: w.version + 1})
		w.answer(r, false)
		w.step(r, old)
		Expect(r.steward.Holder()).To(BeEquivalentTo("x"))
		Expect(r.steward.HoldsLease(w.clock(r))).To(BeFalse())
	})

	It("goes on under a lapsed lease that nobody took, with a new term and its own count", func() {
		w := newWorld(permit.DefaultSettings(), 1, 1)
		r := w.routers[0]
		lead(w, r)
		w.now = w.now.Add(time.Minute)
		term := r.steward.Term()
		w.tick(r)
		w.write(r)
		w.answer(r, true)
		Expect(r.steward.HoldsLease(w.clock(r))).To(BeFalse())
		w.read(r)
		Expect(r.steward.HoldsLease(w.clock(r))).To(BeTrue(), "the lost answer is found by its nonce")
		Expect(r.steward.Term()).To(Equal(term + 1))
		w.see(r, 0)
		w.ask(r, r)
		w.serve(r)
		Expect(r.grants).To(HaveLen(1))
	})
})

const (
	perRouter  = 9
	operations = 2*perRouter + 1
)

var names = []string{"tick", "commit", "lose", "read", "ask", "serve", "grant", "see", "end"}

// replay runs a sequence of operations from a world in which the first router
// is the steward of one cold slot, after a start in words. Each router has the
// named operations; the last one of all is time.
func replay(start string, lying bool, path []byte) (*world, bool) {
	w := newWorld(tight(), 2, 1)
	w.lying = lying
	w.read(w.routers[1])
	lead(w, w.routers[0])
	w.read(w.routers[1])
	for _, word := range strings.Fields(start) {
		w.operate(operation(word))
	}
	applied := true
	for _, op := range path {
		applied = w.operate(op)
	}
	return w, applied
}

func operation(word string) byte {
	name, router, _ := strings.Cut(word, ".")
	if name == "time" {
		return operations - 1
	}
	return byte(slices.Index(names, name)) + perRouter*(router[0]-'0')
}

func (w *world) operate(op byte) bool {
	if op == operations-1 {
		return w.pass(time.Second)
	}
	r, other := w.routers[op/perRouter], w.routers[1-op/perRouter]
	switch names[op%perRouter] {
	case "tick":
		return w.tick(r)
	case "commit":
		return w.write(r) && w.answer(r, false)
	case "lose":
		return w.write(r) && w.answer(r, true)
	case "read":
		return w.read(r)
	case "ask":
		return r.attempts < 2 && w.ask(r, other)
	case "serve":
		return w.serve(r)
	case "grant":
		return w.grant(r)
	case "see":
		return w.see(r, 0)
	}
	return w.end(r)
}

func (w *world) state() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now.Unix(), w.lease, w.version, w.running)
	for _, r := range w.routers {
		fmt.Fprint(&b, *r.steward, r.writes, r.answers, r.questions, r.grants, r.attempts)
	}
	return b.String()
}

func describe(path []byte) string {
	words := make([]string, len(path))
	for i, op := range path {
		words[i] = "time"
		if op != operations-1 {
			words[i] = fmt.Sprintf("%s.%d", names[op%perRouter], op/perRouter)
		}
	}
	return strings.Join(words, " ")
}

// randomStep takes a step that is likely to lead somewhere: most are short
// exchanges, whole or cut off half-way.
func randomStep(t *rapid.T, w *world, i int) {
	r := rapid.SampledFrom(w.routers).Draw(t, "router")
	other := rapid.SampledFrom(w.routers).Draw(t, "other")
	age := time.Duration(rapid.IntRange(0, 2).Draw(t, "age")) * w.settings.ReportLag / 2
	step := rapid.IntRange(0, 13).Draw(t, "step")
	w.trace = append(w.trace, fmt.Sprint(step, " ", r.id, " ", other.id, " ", age))
	switch step {
	case 0, 1, 2:
		d := rapid.SampledFrom([]time.Duration{
			w.settings.SafetyMargin, w.settings.StartTimeout, w.settings.PropagationDelay, w.settings.LeaseDuration, w.settings.PermitLifetime(),
		}).Draw(t, "time")
		w.trace = append(w.trace, d.String())
		w.pass(d)
	case 3, 4:
		w.read(r)
		w.tick(r)
		w.write(r)
		w.answer(r, rapid.Bool().Draw(t, "lost"))
		w.see(r, age)
	case 5, 6:
		w.ask(r, other)
		w.serve(other)
		w.grant(r)
	case 7:
		w.ask(r, other)
		w.serve(other)
	case 8:
		w.grant(r)
	case 9:
		w.see(r, age)
	case 10:
		w.end(r)
	case 11:
		rapid.SampledFrom([]func(*router) bool{w.tick, w.write, w.read, w.serve}).Draw(t, "part")(r)
	case 12:
		w.answer(r, rapid.Bool().Draw(t, "lost"))
	case 13:
		disturb(t, w, r, i)
	}
}

// disturb brings the rarer faults: routers stopped or replaced, and the
// endpoint turning warm or cold.
func disturb(t *rapid.T, w *world, r *router, i int) {
	fault := rapid.IntRange(0, 5).Draw(t, "fault")
	w.trace = append(w.trace, fmt.Sprint("fault ", fault))
	switch fault {
	case 0:
		w.step(r, permit.Stop{})
	case 1: // the endpoint ends runs whose connection is gone, unless that is cut silently
		for w.lying && w.end(r) {
			continue
		}
		for j := range w.routers {
			if w.routers[j] == r {
				w.routers[j] = w.newRouter(fmt.Sprintf("n%d", i), time.Duration(i)*time.Minute)
			}
		}
	case 2:
		w.warm = !w.lying
	case 3:
		if w.warm && !w.lying {
			w.warm, w.coldAt = false, w.now
		}
	case 4:
		_ = w.lying || w.sendWarm(fmt.Sprint(i))
	case 5:
		w.endWarm()
	}
}
