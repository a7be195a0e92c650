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

// shortSettings returns settings in which each duration is a few steps of the search.
func shortSettings() permit.Settings {
	return permit.Settings{
		LeaseDuration: 2 * time.Second, RenewInterval: time.Second, StartTimeout: time.Second, RunTimeout: 3 * time.Second,
	}
}

// becomeSteward makes a router the steward and lets it observe the endpoint.
func becomeSteward(s *simulation, r *simulatedRouter) {
	s.read(r)
	s.tick(r)
	s.commitWrite(r)
	s.deliverWriteResult(r, false)
	s.observeEndpoint(r, 0)
}

var _ = Describe("Steward", func() {
	DescribeTable("grants no more than the cold slots in any interleaving up to a depth", func(start string, reportsZero bool) {
		const depth = 6
		seen, paths := map[string]bool{}, [][]byte{nil}
		for range depth {
			var next [][]byte
			for _, path := range paths {
				for op := range byte(operationCount) {
					longer := append(append([]byte(nil), path...), op)
					s, applied := replay(start, reportsZero, longer)
					if !applied {
						continue
					}
					if violation := s.checkInvariants(); violation != "" {
						Fail(fmt.Sprintf("%s after %s %s", violation, start, describe(longer)))
					}
					if state := s.stateKey(); !seen[state] {
						seen[state] = true
						next = append(next, longer)
					}
				}
			}
			paths = next
		}
		GinkgoWriter.Printf("%s, reports of zero %v: %d states\n", start, reportsZero, len(seen))
	},
		Entry("from an idle endpoint", "", false),
		Entry("with a permit in flight", "ask.1 serve.0", false),
		Entry("with a permit in flight as the lease expires", "ask.1 serve.0 time tick.1", false),
		Entry("with an attempt that may outlive its permit", "ask.1 serve.0 grant.1 time time", false),
		Entry("with a new steward", "ask.1 serve.0 grant.1 time time tick.1 commit.1", false),
		Entry("with reports that always count 0 requests", "ask.1 serve.0 grant.1 time time", true),
	)

	It("grants no more than the cold slots under random faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newSimulation(permit.DefaultSettings(), 2, 1)
			s.reportsZero = rapid.Bool().Draw(t, "reportsZero")
			for i := range rapid.IntRange(10, 60).Draw(t, "steps") {
				randomStep(t, s, i)
				if violation := s.checkInvariants(); violation != "" {
					t.Fatalf("%s after %s", violation, strings.Join(s.steps, ", "))
				}
			}
		})
	})

	It("grants while it holds the lease, and hands over a cleanly released lease without delay", func() {
		s := newSimulation(permit.DefaultSettings(), 2, coldSlots)
		first, second := s.routers[0], s.routers[1]
		s.observeEndpoint(second, 0)
		s.now = s.now.Add(s.settings.PropagationDelay)
		becomeSteward(s, first)
		s.now = s.now.Add(s.settings.ReportLag + s.settings.PropagationDelay)
		s.observeEndpoint(first, 0)
		s.tick(first)
		s.commitWrite(first)
		s.deliverWriteResult(first, false)
		s.sendRequest(second, first)
		s.handleRequest(first)
		s.deliverPermit(second)
		Expect(s.running).To(HaveLen(1))
		s.step(first, permit.Stop{})
		Expect(s.commitWrite(first)).To(BeFalse(), "a permit is in use")
		s.endRun(second)
		s.commitWrite(first)
		Expect(s.lease.Clean).To(BeTrue())
		becomeSteward(s, second)
		Expect(second.steward.HoldsLease(s.clock(second))).To(BeTrue())
		s.now = s.now.Add(s.settings.ReportLag)
		s.observeEndpoint(second, 0)
		s.sendRequest(first, second)
		s.handleRequest(second)
		Expect(first.grants).To(HaveLen(1), "the predecessor has no permits outstanding")
	})

	DescribeTable("denies", func(reason permit.Reason, prepare func(s *simulation, r *simulatedRouter)) {
		s := newSimulation(permit.DefaultSettings(), 1, 1)
		r := s.routers[0]
		becomeSteward(s, r)
		prepare(s, r)
		q := permit.Request{Router: "x", Attempt: "a", Endpoint: endpointID}
		Expect(r.steward.Step(s.clock(r), q)).To(ContainElement(HaveField("Reason", reason)))
	},
		Entry("when its lease has expired", permit.ReasonNotSteward, func(s *simulation, _ *simulatedRouter) { s.now = s.now.Add(time.Minute) }),
		Entry("when it is stopping", permit.ReasonNotSteward, func(s *simulation, r *simulatedRouter) { s.step(r, permit.Stop{}) }),
		Entry("before requests sent while warm are counted", permit.ReasonUncounted, func(*simulation, *simulatedRouter) {}),
		Entry("while a report may predate the last request sent while warm", permit.ReasonUncounted, func(s *simulation, r *simulatedRouter) {
			s.advance(s.settings.PropagationDelay + s.settings.ReportLag - 1)
			s.observeEndpoint(r, 0)
		}),
		Entry("for a warm endpoint", permit.ReasonNotCold, func(s *simulation, r *simulatedRouter) {
			s.warm = true
			s.observeEndpoint(r, 0)
		}),
		Entry("when requests sent while warm fill the slots", permit.ReasonFull, func(s *simulation, r *simulatedRouter) {
			s.sendUnpermitted("a")
			s.now = s.now.Add(s.settings.PropagationDelay + s.settings.ReportLag)
			s.observeEndpoint(r, 0)
			s.tick(r)
			s.commitWrite(r)
			s.deliverWriteResult(r, false)
		}),
	)

	It("counts again in a term after another router's", func() {
		s := newSimulation(permit.DefaultSettings(), 2, 1)
		first, second := s.routers[0], s.routers[1]
		becomeSteward(s, first)
		s.advance(s.settings.PropagationDelay + s.settings.ReportLag)
		s.observeEndpoint(first, 0)
		s.read(second)
		s.advance(s.settings.LeaseDuration)
		becomeSteward(s, second)
		s.advance(s.settings.LeaseDuration + s.settings.PermitLifetime())
		s.read(first)
		s.advance(s.settings.LeaseDuration)
		s.tick(first)
		s.commitWrite(first)
		s.deliverWriteResult(first, false)
		Expect(first.steward.HoldsLease(s.clock(first))).To(BeTrue())
		s.sendRequest(second, first)
		s.advance(s.settings.PermitLifetime() + s.settings.SafetyMargin)
		s.tick(first)
		s.commitWrite(first)
		s.deliverWriteResult(first, false)
		s.handleRequest(first)
		Expect(second.grants).To(BeEmpty(), "requests granted by the second router are unknown")
	})

	It("does not release a lease as clean while an earlier holder's permits may be in use", func() {
		s := newSimulation(permit.DefaultSettings(), 2, 1)
		becomeSteward(s, s.routers[0])
		s.read(s.routers[1])
		s.advance(s.settings.LeaseDuration)
		becomeSteward(s, s.routers[1])
		s.step(s.routers[1], permit.Stop{})
		s.commitWrite(s.routers[1])
		Expect(s.lease.Clean).To(BeFalse())
	})

	It("ignores versions and write results older than the newest version seen", func() {
		s := newSimulation(permit.DefaultSettings(), 2, 1)
		r := s.routers[0]
		s.read(r)
		s.tick(r)
		s.commitWrite(r)
		old := permit.LeaseRead{Lease: s.lease, Version: s.version}
		newer := permit.Lease{Holder: "x", Term: 9}
		s.step(r, permit.LeaseRead{Lease: newer, Version: s.version + 1})
		s.deliverWriteResult(r, false)
		s.step(r, old)
		Expect(r.steward.Holder()).To(BeEquivalentTo("x"))
		Expect(r.steward.HoldsLease(s.clock(r))).To(BeFalse())
	})

	It("continues an expired lease that no router took over, with a new term and its own count", func() {
		s := newSimulation(permit.DefaultSettings(), 1, 1)
		r := s.routers[0]
		becomeSteward(s, r)
		s.now = s.now.Add(time.Minute)
		term := r.steward.Term()
		s.tick(r)
		s.commitWrite(r)
		s.deliverWriteResult(r, true)
		Expect(r.steward.HoldsLease(s.clock(r))).To(BeFalse())
		s.read(r)
		Expect(r.steward.HoldsLease(s.clock(r))).To(BeTrue(), "the write with the lost result is identified by its nonce")
		Expect(r.steward.Term()).To(Equal(term + 1))
		s.observeEndpoint(r, 0)
		s.sendRequest(r, r)
		s.handleRequest(r)
		Expect(r.grants).To(HaveLen(1))
	})
})

const (
	operationsPerRouter = 9
	operationCount      = 2*operationsPerRouter + 1
)

var operationNames = []string{"tick", "commit", "lose", "read", "ask", "serve", "grant", "see", "end"}

// replay runs the named operations of start, then those of path, from a state in
// which the first router is the steward of one cold slot. Each router has the named
// operations; the last operation advances the clock.
func replay(start string, reportsZero bool, path []byte) (*simulation, bool) {
	s := newSimulation(shortSettings(), 2, 1)
	s.reportsZero = reportsZero
	s.read(s.routers[1])
	becomeSteward(s, s.routers[0])
	s.read(s.routers[1])
	for _, word := range strings.Fields(start) {
		s.runOperation(parseOperation(word))
	}
	applied := true
	for _, op := range path {
		applied = s.runOperation(op)
	}
	return s, applied
}

func parseOperation(word string) byte {
	name, router, _ := strings.Cut(word, ".")
	if name == "time" {
		return operationCount - 1
	}
	return byte(slices.Index(operationNames, name)) + operationsPerRouter*(router[0]-'0')
}

func (s *simulation) runOperation(op byte) bool {
	if op == operationCount-1 {
		return s.advance(time.Second)
	}
	r, other := s.routers[op/operationsPerRouter], s.routers[1-op/operationsPerRouter]
	switch operationNames[op%operationsPerRouter] {
	case "tick":
		return s.tick(r)
	case "commit":
		return s.commitWrite(r) && s.deliverWriteResult(r, false)
	case "lose":
		return s.commitWrite(r) && s.deliverWriteResult(r, true)
	case "read":
		return s.read(r)
	case "ask":
		return r.attempts < 2 && s.sendRequest(r, other)
	case "serve":
		return s.handleRequest(r)
	case "grant":
		return s.deliverPermit(r)
	case "see":
		return s.observeEndpoint(r, 0)
	}
	return s.endRun(r)
}

func (s *simulation) stateKey() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now.Unix(), s.lease, s.version, s.running)
	for _, r := range s.routers {
		fmt.Fprint(&b, *r.steward, r.writes, r.writeResults, r.requests, r.grants, r.attempts)
	}
	return b.String()
}

func describe(path []byte) string {
	words := make([]string, len(path))
	for i, op := range path {
		words[i] = "time"
		if op != operationCount-1 {
			words[i] = fmt.Sprintf("%s.%d", operationNames[op%operationsPerRouter], op/operationsPerRouter)
		}
	}
	return strings.Join(words, " ")
}

// randomStep takes a random step. Most steps are complete or partial exchanges of
// messages, so that the search reaches relevant states.
func randomStep(t *rapid.T, s *simulation, i int) {
	r := rapid.SampledFrom(s.routers).Draw(t, "router")
	other := rapid.SampledFrom(s.routers).Draw(t, "other")
	age := time.Duration(rapid.IntRange(0, 2).Draw(t, "age")) * s.settings.ReportLag / 2
	step := rapid.IntRange(0, 13).Draw(t, "step")
	s.steps = append(s.steps, fmt.Sprint(step, " ", r.id, " ", other.id, " ", age))
	switch step {
	case 0, 1, 2:
		d := rapid.SampledFrom([]time.Duration{
			s.settings.SafetyMargin, s.settings.StartTimeout, s.settings.PropagationDelay, s.settings.LeaseDuration, s.settings.PermitLifetime(),
		}).Draw(t, "time")
		s.steps = append(s.steps, d.String())
		s.advance(d)
	case 3, 4:
		s.read(r)
		s.tick(r)
		s.commitWrite(r)
		s.deliverWriteResult(r, rapid.Bool().Draw(t, "lost"))
		s.observeEndpoint(r, age)
	case 5, 6:
		s.sendRequest(r, other)
		s.handleRequest(other)
		s.deliverPermit(r)
	case 7:
		s.sendRequest(r, other)
		s.handleRequest(other)
	case 8:
		s.deliverPermit(r)
	case 9:
		s.observeEndpoint(r, age)
	case 10:
		s.endRun(r)
	case 11:
		rapid.SampledFrom([]func(*simulatedRouter) bool{s.tick, s.commitWrite, s.read, s.handleRequest}).Draw(t, "part")(r)
	case 12:
		s.deliverWriteResult(r, rapid.Bool().Draw(t, "lost"))
	case 13:
		injectFault(t, s, r, i)
	}
}

// injectFault injects a rare fault: a router stops or is replaced, or the endpoint
// becomes warm or cold.
func injectFault(t *rapid.T, s *simulation, r *simulatedRouter, i int) {
	fault := rapid.IntRange(0, 5).Draw(t, "fault")
	s.steps = append(s.steps, fmt.Sprint("fault ", fault))
	switch fault {
	case 0:
		s.step(r, permit.Stop{})
	case 1: // the endpoint ends runs of closed connections, unless the cut is silent
		for s.reportsZero && s.endRun(r) {
			continue
		}
		for j := range s.routers {
			if s.routers[j] == r {
				s.routers[j] = s.newRouter(fmt.Sprintf("n%d", i), time.Duration(i)*time.Minute)
			}
		}
	case 2:
		s.warm = !s.reportsZero
	case 3:
		if s.warm && !s.reportsZero {
			s.warm, s.coldSince = false, s.now
		}
	case 4:
		_ = s.reportsZero || s.sendUnpermitted(fmt.Sprint(i))
	case 5:
		s.endUnpermitted()
	}
}
