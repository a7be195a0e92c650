package retry

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ErrGap means that an attempt ran further ahead of a missing frame than the
// Assembler holds; the attempt should be ended and resumed.
var ErrGap = errors.New("answer has a gap that is too wide")

// Drops counts the frames that were not handed on, by kind.
type Drops struct {
	Foreign     int `json:"foreign"` // of another request, or an attempt never opened
	Stale       int `json:"stale"`   // of an attempt that lost or was closed
	Duplicate   int `json:"doubled"` // received already
	AfterFinal  int `json:"beyond"`  // after the final frame
	OutOfWindow int `json:"wide"`    // too far ahead of a gap
}

// Assembler turns the frames of a request's attempts into the caller's answer:
// each frame exactly once, in order, from one attempt at a time. The first of
// several hedged attempts to bring the next frame is followed; the others have
// lost and should be cancelled. It is owned by one goroutine.
type Assembler struct {
	request  ident.RequestID
	window   int // frames held ahead of a gap
	next     int // sequence of the next frame for the caller
	leader   ident.AttemptID
	attempts map[ident.AttemptID]*pending
	done     bool
	drops    Drops
}

// pending holds one attempt's frames that came ahead of a missing one.
type pending struct {
	held map[int]engine.Frame
	lost bool
}

// NewAssembler gives an assembler for a request, which holds up to window
// frames for each attempt.
func NewAssembler(request ident.RequestID, window int) *Assembler {
	return &Assembler{request: request, window: window, attempts: make(map[ident.AttemptID]*pending, 1)}
}

// Open admits an attempt's frames. Opened beside another one it is a hedge. It
// tells false if an attempt is already followed: that one must be closed first.
func (a *Assembler) Open(attempt ident.AttemptID) bool {
	if a.leader != "" {
		return false
	}
	if a.attempts[attempt] == nil {
		a.attempts[attempt] = &pending{}
	}
	return true
}

// Close ends an attempt: later frames of it are dropped. If it was followed,
// another attempt may be opened to go on from Next.
func (a *Assembler) Close(attempt ident.AttemptID) {
	p := a.attempts[attempt]
	if p == nil {
		return
	}
	p.lost, p.held = true, nil
	if a.leader == attempt {
		a.leader = ""
	}
}

// Lost gives the attempts that lost to the one that is followed, sorted.
func (a *Assembler) Lost() []ident.AttemptID {
	var lost []ident.AttemptID
	for id, p := range a.attempts {
		if p.lost {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}

// Add takes in a frame and calls emit for each frame that is then due to the
// caller. It fails with ErrGap, or with the error of emit.
func (a *Assembler) Add(f engine.Frame, emit func(engine.Frame) error) error {
	p := a.attempts[f.Attempt]
	switch {
	case f.Request != a.request || p == nil || f.Sequence < 0:
		a.drops.Foreign++
		return nil
	case a.done:
		a.drops.AfterFinal++
		return nil
	case p.lost:
		a.drops.Stale++
		return nil
	case f.Sequence < a.next:
		a.drops.Duplicate++
		return nil
	case f.Sequence == a.next:
		return a.follow(f, p, emit)
	}
	return a.hold(f, p)
}

// Next gives the number of frames emitted, from which an attempt may resume.
func (a *Assembler) Next() int { return a.next }

// Done tells whether the final frame was emitted: the answer is whole.
func (a *Assembler) Done() bool { return a.done }

// Leader gives the attempt whose frames are followed, or none.
func (a *Assembler) Leader() ident.AttemptID { return a.leader }

// Drops gives the counts of frames that were not handed on.
func (a *Assembler) Drops() Drops { return a.drops }

func (a *Assembler) follow(f engine.Frame, p *pending, emit func(engine.Frame) error) error {
	a.lead(f.Attempt)
	for {
		a.next++
		a.done = f.Final
		if err := emit(f); err != nil {
			return fmt.Errorf("hand on frame %d: %w", f.Sequence, err)
		}
		if a.done {
			a.drops.AfterFinal += len(p.held)
			p.held = nil
			return nil
		}
		held, ok := p.held[a.next]
		if !ok {
			return nil
		}
		delete(p.held, a.next)
		f = held
	}
}

// lead follows an attempt from now on; all others have lost.
func (a *Assembler) lead(attempt ident.AttemptID) {
	if a.leader == attempt {
		return
	}
	a.leader = attempt
	for id, p := range a.attempts {
		if id != attempt {
			p.lost, p.held = true, nil
		}
	}
}

func (a *Assembler) hold(f engine.Frame, p *pending) error {
	if _, ok := p.held[f.Sequence]; ok {
		a.drops.Duplicate++
		return nil
	}
	if f.Sequence-a.next > a.window {
		a.drops.OutOfWindow++
		return fmt.Errorf("frame %d came while %d is missing: %w", f.Sequence, a.next, ErrGap)
	}
	if p.held == nil {
		p.held = make(map[int]engine.Frame)
	}
	p.held[f.Sequence] = f
	return nil
}
