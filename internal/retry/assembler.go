package retry

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ErrGap means that a frame of an attempt is further ahead of a missing frame
// than the Assembler buffers. The attempt should be ended and resumed.
var ErrGap = errors.New("gap in the answer exceeds the window")

// Drops holds the numbers of dropped frames, by cause.
type Drops struct {
	Foreign     int `json:"foreign"` // of another request, or of an attempt that was never opened
	Stale       int `json:"stale"`   // of an attempt that lost or was closed
	Duplicate   int `json:"doubled"` // already received
	AfterFinal  int `json:"beyond"`  // after the final frame
	OutOfWindow int `json:"wide"`    // too far ahead of a missing frame
}

// Assembler assembles the caller's answer from the frames of a request's
// attempts: each frame exactly once, in order, from one attempt at a time. The
// first of several hedged attempts to deliver the next frame becomes the leader;
// the others have lost and should be cancelled. It is not safe for concurrent
// use.
type Assembler struct {
	request  ident.RequestID
	window   int // frames buffered ahead of a missing one
	next     int // sequence of the next frame for the caller
	leader   ident.AttemptID
	attempts map[ident.AttemptID]*attemptBuffer
	done     bool
	drops    Drops
}

// attemptBuffer holds the frames of one attempt that arrived ahead of a missing
// one.
type attemptBuffer struct {
	frames map[int]engine.Frame
	lost   bool
}

// NewAssembler returns an assembler for a request that buffers up to window
// frames of each attempt.
func NewAssembler(request ident.RequestID, window int) *Assembler {
	return &Assembler{request: request, window: window, attempts: make(map[ident.AttemptID]*attemptBuffer, 1)}
}

// Open admits the frames of an attempt. An attempt opened beside others is a
// hedge. Open returns false if there is a leader, which must be closed first.
func (a *Assembler) Open(attempt ident.AttemptID) bool {
	if a.leader != "" {
		return false
	}
	if a.attempts[attempt] == nil {
		a.attempts[attempt] = &attemptBuffer{}
	}
	return true
}

// Close ends an attempt: later frames of it are dropped. If it was the leader,
// another attempt may be opened to continue from Next.
func (a *Assembler) Close(attempt ident.AttemptID) {
	p := a.attempts[attempt]
	if p == nil {
		return
	}
	p.lost, p.frames = true, nil
	if a.leader == attempt {
		a.leader = ""
	}
}

// Lost returns the attempts that lost to the leader or were closed, sorted.
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

// Add accepts a frame and calls emit for each frame that is then next in the
// answer. It returns ErrGap or the error of emit, wrapped.
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
		return a.emitFrom(f, p, emit)
	}
	return a.buffer(f, p)
}

// Next returns the number of frames emitted, from which an attempt may resume.
func (a *Assembler) Next() int { return a.next }

// Done reports whether the final frame was emitted and the answer is complete.
func (a *Assembler) Done() bool { return a.done }

// Leader returns the attempt whose frames are emitted, or "" if there is none.
func (a *Assembler) Leader() ident.AttemptID { return a.leader }

// Drops returns the numbers of dropped frames.
func (a *Assembler) Drops() Drops { return a.drops }

// emitFrom emits the next frame and the buffered frames of its attempt that
// follow without a gap.
func (a *Assembler) emitFrom(f engine.Frame, p *attemptBuffer, emit func(engine.Frame) error) error {
	a.setLeader(f.Attempt)
	for {
		a.next++
		a.done = f.Final
		if err := emit(f); err != nil {
			return fmt.Errorf("emit frame %d: %w", f.Sequence, err)
		}
		if a.done {
			a.drops.AfterFinal += len(p.frames)
			p.frames = nil
			return nil
		}
		next, ok := p.frames[a.next]
		if !ok {
			return nil
		}
		delete(p.frames, a.next)
		f = next
	}
}

// setLeader makes an attempt the leader; all others have lost.
func (a *Assembler) setLeader(attempt ident.AttemptID) {
	if a.leader == attempt {
		return
	}
	a.leader = attempt
	for id, p := range a.attempts {
		if id != attempt {
			p.lost, p.frames = true, nil
		}
	}
}

// buffer keeps a frame that is ahead of a missing one.
func (a *Assembler) buffer(f engine.Frame, p *attemptBuffer) error {
	if _, ok := p.frames[f.Sequence]; ok {
		a.drops.Duplicate++
		return nil
	}
	if f.Sequence-a.next > a.window {
		a.drops.OutOfWindow++
		return fmt.Errorf("frame %d arrived while frame %d is missing: %w", f.Sequence, a.next, ErrGap)
	}
	if p.frames == nil {
		p.frames = make(map[int]engine.Frame)
	}
	p.frames[f.Sequence] = f
	return nil
}
