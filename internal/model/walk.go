package model

import "fmt"

// maxDrainTransitions limits the transitions until a history is quiescent once
// no more faults occur.
const maxDrainTransitions = 10_000

// Walk follows one history for the given number of steps. At each step choose
// gets the number of possible transitions and returns the index of one. After
// that no more faults occur, and the state must become quiescent. Walk returns a
// Violation if it does not, or if an invariant is violated.
func Walk(st *State, steps int, choose func(count int) int) error {
	cache := recoveryCache{}
	var names []string
	apply := func(t Transition) error {
		t.apply(st)
		names = append(names, t.Name)
		if violation := st.checkInvariants(cache); violation != "" {
			return &Violation{Invariant: violation, History: names}
		}
		return nil
	}
	for range steps {
		transitions := st.Transitions()
		if len(transitions) == 0 {
			break
		}
		if err := apply(transitions[choose(len(transitions))]); err != nil {
			return err
		}
	}
	for range maxDrainTransitions {
		next, ok := st.nextNonFault()
		if !ok && !st.quiescent() {
			return &Violation{Invariant: "pending work cannot make progress", History: names}
		}
		if !ok {
			return nil
		}
		if err := apply(next); err != nil {
			return err
		}
	}
	return &Violation{Invariant: fmt.Sprintf("not quiescent after %d transitions without faults", maxDrainTransitions), History: names}
}

// nextNonFault returns the first possible transition that is not a fault.
func (st *State) nextNonFault() (Transition, bool) {
	for _, t := range st.Transitions() {
		if !t.Fault {
			return t, true
		}
	}
	return Transition{}, false
}
