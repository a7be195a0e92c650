package model

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

// Transition is one step of a history.
type Transition struct {
	Name  string
	Fault bool // a failure, or the loss of a caller or a router
	apply func(*State)
}

// faultWords are the first words of the names of transitions that are faults.
var faultWords = []string{"kill", "lose", "refuse", "break", "abandon"}

// Violation is a history that violates an invariant.
type Violation struct {
	Invariant string
	History   []string // names of the transitions from the initial state
}

// Error returns the invariant and the history.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s after %q", v.Invariant, v.History)
}

// Summary reports how much of the state space was searched.
type Summary struct {
	States                int  // distinct states visited
	Transitions           int  // transitions followed from them
	Depth                 int  // of the deepest state
	Exhausted             bool // all reachable states were visited
	NotRunAfterEarlierRun int  // states in which a caller got "not run" for a key that an earlier submission ran
}

// node is a visited state; parent is the index of the state it was reached from.
type node struct {
	state      *State
	parent     int
	transition string
	depth      int
}

// Search visits all reachable states breadth first, up to limit states. It
// returns a Violation with a shortest history if an invariant is violated.
func Search(start *State, limit int) (Summary, error) {
	nodes := []node{{state: start, parent: -1}}
	seen := map[uint64]bool{stateHash(start): true}
	cache := recoveryCache{}
	var s Summary
	for i := 0; i < len(nodes); i++ {
		st := nodes[i].state
		nodes[i].state = nil
		s.States++
		s.Depth = max(s.Depth, nodes[i].depth)
		if violation := st.checkInvariants(cache); violation != "" {
			return s, &Violation{Invariant: violation, History: historyOf(nodes, i)}
		}
		if st.notRunAfterEarlierRun() {
			s.NotRunAfterEarlierRun++
		}
		for _, t := range st.Transitions() {
			s.Transitions++
			next := st.clone()
			t.apply(next)
			h := stateHash(next)
			if seen[h] {
				continue
			}
			if len(nodes) >= limit {
				return s, nil
			}
			seen[h] = true
			nodes = append(nodes, node{state: next, parent: i, transition: t.Name, depth: nodes[i].depth + 1})
		}
	}
	s.Exhausted = true
	return s, nil
}

// Transitions returns the transitions that are possible in the state.
func (st *State) Transitions() []Transition {
	var transitions []Transition
	add := func(apply func(*State), format string, args ...any) {
		name := fmt.Sprintf(format, args...)
		kind, _, _ := strings.Cut(name, " ")
		transitions = append(transitions, Transition{Name: name, Fault: slices.Contains(faultWords, kind), apply: apply})
	}
	st.submissionTransitions(add)
	for r := range st.routers {
		if st.routers[r].dead {
			continue
		}
		st.callTransitions(r, add)
		if st.faults.Kills > 0 && st.liveRouters() > 1 {
			add(func(n *State) { n.faults.Kills--; n.kill(r) }, "kill %d", r)
		}
		if _, due := st.routers[r].log.Due(); due {
			add(func(n *State) { n.applyEvent(r, shard.Tick{}) }, "tick %d", r)
		}
	}
	for i := range st.lateWrites {
		add(func(n *State) {
			a := n.lateWrites[i]
			n.lateWrites = append(n.lateWrites[:i:i], n.lateWrites[i+1:]...)
			n.store.perform(a)
		}, "late write %d", i)
	}
	return transitions
}

type addTransition func(apply func(*State), format string, args ...any)

// submissionTransitions adds the transitions of callers, routers and endpoints.
func (st *State) submissionTransitions(add addTransition) {
	for i, s := range st.submissions {
		switch s.stage {
		case stageNew:
			for r := range st.routers {
				if i == 0 && r > 0 && !st.scenario.Forward {
					break // the routers are interchangeable before the first submission
				}
				if !st.routers[r].dead {
					add(func(n *State) { n.submit(i, r) }, "submit %d to %d", i, r)
				}
			}
			return // submissions are made in order
		case stageGranted:
			add(func(n *State) { n.send(i) }, "send %d", i)
		case stageRunning:
			add(func(n *State) { n.finish(i) }, "finish %d", i)
		case stageForwarded:
			if st.faults.Breaks > 0 {
				add(func(n *State) { n.faults.Breaks--; n.breakLink(i) }, "break link of %d", i)
			}
		}
		if st.faults.Abandons > 0 && s.stage >= stageForwarded && s.stage <= stageGranted {
			add(func(n *State) { n.faults.Abandons--; n.abandon(i) }, "abandon %d", i)
		}
	}
}

// callTransitions adds the possible outcomes of a router's platform calls.
func (st *State) callTransitions(r int, add addTransition) {
	for i, c := range st.routers[r].calls {
		write, isWrite := c.action.(shard.WriteObject)
		if isWrite && c.response == nil {
			add(func(n *State) { n.routers[r].calls[i].response = n.store.perform(write) }, "effect %d.%d", r, i)
		}
		if c.response != nil || !isWrite {
			add(func(n *State) { n.completeCall(r, i) }, "answer %d.%d", r, i)
		}
		if isWrite && st.faults.Losses > 0 {
			add(func(n *State) { n.faults.Losses--; n.loseResponse(r, i) }, "lose %d.%d", r, i)
		}
		if c.response == nil && st.faults.Refusals > 0 {
			add(func(n *State) {
				n.faults.Refusals--
				n.applyEvent(r, failedCall(n.removeCall(r, i).action, plat.ErrUnavailable))
			}, "refuse %d.%d", r, i)
		}
	}
}

// completeCall delivers the response of a call; a read is performed at this time.
func (st *State) completeCall(r, i int) {
	c := st.removeCall(r, i)
	if c.response == nil {
		c.response = st.store.perform(c.action)
	}
	st.applyEvent(r, c.response)
}

// loseResponse reports a write to its router as uncertain. A write that has not
// taken effect yet may still do so at any later time.
func (st *State) loseResponse(r, i int) {
	c := st.removeCall(r, i)
	if a := c.action.(shard.WriteObject); c.response == nil {
		st.lateWrites = append(st.lateWrites, a)
	}
	st.applyEvent(r, failedCall(c.action, plat.ErrUncertain))
}

func (st *State) removeCall(r, i int) call {
	calls := st.routers[r].calls
	c := calls[i]
	st.routers[r].calls = append(calls[:i:i], calls[i+1:]...)
	return c
}

func (st *State) liveRouters() int {
	n := 0
	for _, r := range st.routers {
		if !r.dead {
			n++
		}
	}
	return n
}

func stateHash(st *State) uint64 {
	h := xxhash.New()
	st.digest(h)
	return h.Sum64()
}

// historyOf returns the names of the transitions that led to a node.
func historyOf(nodes []node, i int) []string {
	var transitions []string
	for ; nodes[i].parent >= 0; i = nodes[i].parent {
		transitions = append([]string{nodes[i].transition}, transitions...)
	}
	return transitions
}
