package model

import "fmt"

// drainSteps bounds how long a history may take to come to rest once nothing
// fails any more.
const drainSteps = 10_000

// Walk follows one history: choose picks among the possible moves, given their
// number, for the given number of steps. After that nothing fails any more, and
// everything must come to rest. It fails with a Violation.
func Walk(w *World, steps int, choose func(moves int) int) error {
	cache := readings{}
	var names []string
	take := func(m Move) error {
		m.apply(w)
		names = append(names, m.Name)
		if broken := w.check(cache); broken != "" {
			return &Violation{Invariant: broken, Moves: names}
		}
		return nil
	}
	for range steps {
		moves := w.Moves()
		if len(moves) == 0 {
			break
		}
		if err := take(moves[choose(len(moves))]); err != nil {
			return err
		}
	}
	for range drainSteps {
		m, ok := w.next()
		if !ok && !w.settled() {
			return &Violation{Invariant: "something waits for ever", Moves: names}
		}
		if !ok {
			return nil
		}
		if err := take(m); err != nil {
			return err
		}
	}
	return &Violation{Invariant: fmt.Sprintf("not at rest after %d moves", drainSteps), Moves: names}
}

// next gives the first move that is not a fault.
func (w *World) next() (Move, bool) {
	for _, m := range w.Moves() {
		if !m.Fault {
			return m, true
		}
	}
	return Move{}, false
}
