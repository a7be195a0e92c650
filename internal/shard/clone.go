package shard

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Clone gives an independent copy, for searches over many histories.
func (l *Log) Clone() *Log {
	c := *l
	c.state = l.state.clone()
	c.slots = slices.Clone(l.slots)
	c.tail = slices.Clone(l.tail)
	c.queue = slices.Clone(l.queue)
	c.check.objects = slices.Clone(l.check.objects)
	c.check.orphans = slices.Clone(l.check.orphans)
	c.check.target.Parts = slices.Clone(l.check.target.Parts)
	c.out = nil
	return &c
}

// Digest writes all that the log's further steps depend on, but for the
// contents of batches, which the sequences name. Two logs of one history with
// the same digest behave alike.
func (l *Log) Digest(w io.Writer) {
	fmt.Fprint(w, l.loaded, l.next, l.slots, len(l.tail), l.phase, l.call, l.calls, l.flight.Nonce, l.lost)
	fmt.Fprint(w, l.written.UnixNano(), l.away.UnixNano())
	c := &l.check
	fmt.Fprint(w, c.manifest.Nonce, c.version, c.stage, c.call, c.retry.UnixNano(), c.base, c.target.Nonce, len(c.objects), len(c.orphans))
	l.state.digest(w)
	for _, p := range l.queue {
		fmt.Fprint(w, p.ticket, p.keep, p.quiet, p.flying, p.written, p.asked)
		w.Write(p.text)
	}
}

// digest writes the state's keys and what distinguishes their values.
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
	for k, b := range s.binds {
		lines = append(lines, fmt.Sprint("bind ", k, b.Version))
	}
	slices.Sort(lines)
	for _, line := range lines {
		io.WriteString(w, line)
	}
}

func (s *State) clone() *State {
	return &State{
		claims:   maps.Clone(s.claims),
		released: maps.Clone(s.released),
		bills:    maps.Clone(s.bills),
		binds:    maps.Clone(s.binds),
		doubled:  s.doubled,
	}
}
