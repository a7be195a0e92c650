package model

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

// Move is one step of a history.
type Move struct {
	Name  string
	Fault bool // something fails, or a caller or router goes away
	apply func(*World)
}

// faults are the first words of moves that are faults.
var faults = []string{"kill", "lose", "refuse", "break", "abandon"}

// Violation is a history that breaks an invariant.
type Violation struct {
	Invariant string
	Moves     []string // from the start
}

// Error gives the invariant and the history.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s after %q", v.Invariant, v.Moves)
}

// Summary says how much was searched.
type Summary struct {
	States  int  // distinct ones
	Steps   int  // between them
	Depth   int  // of the deepest state
	Closed  bool // every history was searched to its end
	Earlier int  // states in which "not run" was said of a key that an earlier submission ran
}

// node is a visited state; the moves that led to it are found by parent.
type node struct {
	world  *World
	parent int
	move   string
	depth  int
}

// Search visits every state that can be reached, breadth first, up to a number
// of states. It fails with a shortest Violation.
func Search(start *World, limit int) (Summary, error) {
	nodes := []node{{world: start, parent: -1}}
	seen := map[uint64]bool{sum(start): true}
	cache := readings{}
	var s Summary
	for i := 0; i < len(nodes); i++ {
		w := nodes[i].world
		nodes[i].world = nil
		s.States++
		s.Depth = max(s.Depth, nodes[i].depth)
		if broken := w.check(cache); broken != "" {
			return s, &Violation{Invariant: broken, Moves: path(nodes, i)}
		}
		if w.earlier() {
			s.Earlier++
		}
		for _, m := range w.Moves() {
			s.Steps++
			next := w.clone()
			m.apply(next)
			h := sum(next)
			if seen[h] {
				continue
			}
			if len(nodes) >= limit {
				return s, nil
			}
			seen[h] = true
			nodes = append(nodes, node{world: next, parent: i, move: m.Name, depth: nodes[i].depth + 1})
		}
	}
	s.Closed = true
	return s, nil
}

// Moves lists what may happen next.
func (w *World) Moves() []Move {
	var moves []Move
	add := func(apply func(*World), format string, args ...any) {
		name := fmt.Sprintf(format, args...)
		kind, _, _ := strings.Cut(name, " ")
		moves = append(moves, Move{Name: name, Fault: slices.Contains(faults, kind), apply: apply})
	}
	w.requestMoves(add)
	for r := range w.routers {
		if w.routers[r].dead {
			continue
		}
		w.callMoves(r, add)
		if w.faults.Kills > 0 && w.live() > 1 {
			add(func(n *World) { n.faults.Kills--; n.kill(r) }, "kill %d", r)
		}
		if _, due := w.routers[r].log.Due(); due {
			add(func(n *World) { n.step(r, shard.Tick{}) }, "tick %d", r)
		}
	}
	for i := range w.late {
		add(func(n *World) {
			a := n.late[i]
			n.late = append(n.late[:i:i], n.late[i+1:]...)
			n.store.perform(a)
		}, "late write %d", i)
	}
	return moves
}

type adder func(apply func(*World), format string, args ...any)

// requestMoves lists what callers, routers and endpoints may do.
func (w *World) requestMoves(add adder) {
	for i, s := range w.requests {
		switch s.stage {
		case stageNew:
			for r := range w.routers {
				if i == 0 && r > 0 && !w.scenario.Forward {
					break // the routers are alike so far
				}
				if !w.routers[r].dead {
					add(func(n *World) { n.submit(i, r) }, "submit %d to %d", i, r)
				}
			}
			return // in order
		case stageGranted:
			add(func(n *World) { n.send(i) }, "send %d", i)
		case stageRunning:
			add(func(n *World) { n.finish(i) }, "finish %d", i)
		case stageForwarded:
			if w.faults.Breaks > 0 {
				add(func(n *World) { n.faults.Breaks--; n.breakLink(i) }, "break link of %d", i)
			}
		}
		if w.faults.Abandons > 0 && s.stage >= stageForwarded && s.stage <= stageGranted {
			add(func(n *World) { n.faults.Abandons--; n.abandon(i) }, "abandon %d", i)
		}
	}
}

// callMoves lists what may become of a router's calls.
func (w *World) callMoves(r int, add adder) {
	for i, c := range w.routers[r].calls {
		write, isWrite := c.action.(shard.WriteObject)
		if isWrite && c.answer == nil {
			add(func(n *World) { n.routers[r].calls[i].answer = n.store.perform(write) }, "effect %d.%d", r, i)
		}
		if c.answer != nil || !isWrite {
			add(func(n *World) { n.answer(r, i) }, "answer %d.%d", r, i)
		}
		if isWrite && w.faults.Losses > 0 {
			add(func(n *World) { n.faults.Losses--; n.lose(r, i) }, "lose %d.%d", r, i)
		}
		if c.answer == nil && w.faults.Refusals > 0 {
			add(func(n *World) {
				n.faults.Refusals--
				n.step(r, refused(n.take(r, i).action, plat.ErrUnavailable))
			}, "refuse %d.%d", r, i)
		}
	}
}

// answer ends a call; a read takes place now.
func (w *World) answer(r, i int) {
	c := w.take(r, i)
	if c.answer == nil {
		c.answer = w.store.perform(c.action)
	}
	w.step(r, c.answer)
}

// lose tells the router that a write's outcome is not known. If it has not
// taken effect yet, it may do so at any later time.
func (w *World) lose(r, i int) {
	c := w.take(r, i)
	if a := c.action.(shard.WriteObject); c.answer == nil {
		w.late = append(w.late, a)
	}
	w.step(r, refused(c.action, plat.ErrUncertain))
}

func (w *World) take(r, i int) call {
	calls := w.routers[r].calls
	c := calls[i]
	w.routers[r].calls = append(calls[:i:i], calls[i+1:]...)
	return c
}

func (w *World) live() int {
	n := 0
	for _, r := range w.routers {
		if !r.dead {
			n++
		}
	}
	return n
}

func sum(w *World) uint64 {
	h := xxhash.New()
	w.digest(h)
	return h.Sum64()
}

// path gives the moves that led to a node.
func path(nodes []node, i int) []string {
	var moves []string
	for ; nodes[i].parent >= 0; i = nodes[i].parent {
		moves = append([]string{nodes[i].move}, moves...)
	}
	return moves
}
