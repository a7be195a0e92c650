package shard

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Clone returns an independent copy of the log, for model checking.
func (l *Log) Clone() *Log {
	c := *l
	c.state = l.state.clone()
	c.slots = slices.Clone(l.slots)
	c.tail = slices.Clone(l.tail)
	c.queue = slices.Clone(l.queue)
	c.checkpoint.pending = slices.Clone(l.checkpoint.pending)
	c.checkpoint.orphans = slices.Clone(l.checkpoint.orphans)
	c.checkpoint.target.Parts = slices.Clone(l.checkpoint.target.Parts)
	c.actions = nil
	return &c
}

// Digest writes everything that the log's further steps depend on, except for the
// contents of batches, which their sequence numbers identify. Two logs of the
// same history with equal digests behave the same.
func (l *Log) Digest(w io.Writer) {
	fmt.Fprint(w, l.loaded, l.next, l.slots, len(l.tail), l.phase, l.call, l.lastCall, l.inFlight.Nonce, l.conflicted)
	fmt.Fprint(w, l.lastWrite.UnixNano(), l.unavailableUntil.UnixNano())
	c := &l.checkpoint
	fmt.Fprint(w, c.manifest.Nonce, c.version, c.stage, c.call, c.retryAt.UnixNano(), c.base, c.target.Nonce, len(c.pending), len(c.orphans))
	l.state.digest(w)
	for _, p := range l.queue {
		fmt.Fprint(w, p.id, p.retain, p.answered, p.inFlight, p.maybeWritten, p.precedesCall)
		w.Write(p.encoded)
	}
}

// digest writes the state's keys and the fields that distinguish their values.
func (s *State) digest(w io.Writer) {
	var lines []string
	for k, e := range s.claims {
		lines = append(lines, fmt.Sprint("claim ", k, e.claim.Nonce, e.done, e.outcome.Status))
	}
	for n := range s.released {
		lines = append(lines, fmt.Sprint("release ", n))
	}
	for k, b := range s.bills {
		lines = append(lines, fmt.Sprint("bill ", k, int64(b.Cost)))
	}
	for k, b := range s.bindings {
		lines = append(lines, fmt.Sprint("bind ", k, b.Version))
	}
	slices.Sort(lines)
	for _, line := range lines {
		io.WriteString(w, line)
	}
}

func (s *State) clone() *State {
	return &State{
		claims:         maps.Clone(s.claims),
		released:       maps.Clone(s.released),
		bills:          maps.Clone(s.bills),
		bindings:       maps.Clone(s.bindings),
		duplicateBills: s.duplicateBills,
	}
}
