package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

const (
	silenceCold = 2 * time.Second        // without a report an endpoint is taken for cold
	silenceDown = 6 * time.Second        // and for down
	downAfter   = 3                      // failures to connect in a row
	slowAnswers = 3                      // late first tokens in a row
	slowRatio   = 4.0                    // late is more than this multiple of the expected time
	slowFloor   = 500 * time.Millisecond // and more than this
	firstDoubt  = 1 * time.Second        // report of warmth is doubted for as long after a mark
	longestWait = 30 * time.Second       // as marks follow each other
)

// Sign is something from which an endpoint's phase is told: Reported, Answered,
// Broke, Marked, Restored or Passed.
type Observation interface{ sign() }

// Reported is a report of the endpoint, which this router asked for at Asked.
type ReportReceived struct {
	Requested time.Time
	Report    fleet.Report
}

// Answered is the time to a first token and the time that was expected.
type FirstToken struct{ Latency, Expected time.Duration }

// Broke is a connection that failed or broke. Ran tells whether a run was cut.
type ConnectionFailed struct{ RunInterrupted bool }

// Marked is another router's word that it took the endpoint for cold, for
// other reasons than the endpoint's own report.
type ColdMark struct {
	Boot string
	Age  time.Duration // since the mark, when it was sent
}

// Restored says that operators put the endpoint's zone back. What it reported
// before says nothing of it now.
type ZoneRestored struct{}

// Passed is the passing of time.
type TimeElapsed struct{}

func (ReportReceived) sign()   {}
func (FirstToken) sign()       {}
func (ConnectionFailed) sign() {}
func (ColdMark) sign()         {}
func (ZoneRestored) sign()     {}
func (TimeElapsed) sign()      {}

// Phase tells an endpoint's phase from what this router sees of it. It is owned
// by the control thread. The zero value is an endpoint never seen, which is
// cold.
type PhaseDetector struct {
	phase    fleet.Phase
	boot     string
	reported time.Time // when the newest report was received
	marked   time.Time // when it was last taken for cold against its own word
	doubt    time.Duration
	failures int
	slow     int
}

// Step takes in a sign and gives the phase.
func (p *PhaseDetector) Step(now time.Time, sign Observation) fleet.Phase {
	switch s := sign.(type) {
	case ReportReceived:
		p.report(now, s)
	case FirstToken:
		p.answer(now, s)
	case ConnectionFailed:
		p.fail(now, s)
	case ColdMark:
		p.heed(now, s)
	case ZoneRestored:
		p.mark(now)
	case TimeElapsed:
		p.pass(now)
	}
	return p.phase
}

// Phase gives the phase as of the last sign.
func (p *PhaseDetector) Phase() fleet.Phase { return p.phase }

// Mark gives the mark to tell other routers, if the endpoint was taken for
// cold within the last moments that they may not know of.
func (p *PhaseDetector) Mark(now time.Time) (ColdMark, bool) {
	if p.marked.IsZero() || now.Sub(p.marked) > longestWait {
		return ColdMark{}, false
	}
	return ColdMark{Boot: p.boot, Age: now.Sub(p.marked)}, true
}

func (p *PhaseDetector) report(now time.Time, s ReportReceived) {
	rebooted := p.boot != "" && s.Report.Boot != p.boot
	p.boot = s.Report.Boot
	p.reported = now
	p.failures = 0
	if rebooted {
		p.mark(now)
	}
	switch {
	case !s.Report.Warm:
		p.phase = fleet.PhaseCold
	case p.marked.IsZero() || s.Requested.After(p.marked.Add(p.doubt)):
		p.phase = fleet.PhaseWarm
	case p.phase == fleet.PhaseDown:
		p.phase = fleet.PhaseCold
	}
}

func (p *PhaseDetector) answer(now time.Time, s FirstToken) {
	p.failures = 0
	late := float64(s.Latency) > slowRatio*float64(s.Expected) && s.Latency > slowFloor
	if !late {
		p.slow = 0
		return
	}
	if p.slow++; p.slow >= slowAnswers {
		p.slow = 0
		p.mark(now)
	}
}

func (p *PhaseDetector) fail(now time.Time, s ConnectionFailed) {
	p.failures++
	if s.RunInterrupted || p.failures == 1 {
		p.mark(now)
	}
	if p.failures >= downAfter {
		p.phase = fleet.PhaseDown
	}
}

// heed takes over another router's mark, unless it is of an earlier boot.
func (p *PhaseDetector) heed(now time.Time, s ColdMark) {
	if s.Boot != p.boot {
		return
	}
	at := now.Add(-s.Age)
	if !at.After(p.marked) {
		return
	}
	p.marked = at
	p.doubt = max(p.doubt, firstDoubt)
	if p.phase == fleet.PhaseWarm {
		p.phase = fleet.PhaseCold
	}
}

func (p *PhaseDetector) pass(now time.Time) {
	quiet := now.Sub(p.reported)
	switch {
	case p.reported.IsZero():
	case quiet > silenceDown && p.phase != fleet.PhaseDown:
		p.mark(now)
		p.phase = fleet.PhaseDown
	case quiet > silenceCold && p.phase == fleet.PhaseWarm:
		p.mark(now)
	}
}

// mark takes the endpoint for cold against its word. Marks that follow each
// other are held longer each time.
func (p *PhaseDetector) mark(now time.Time) {
	p.doubt = max(firstDoubt, min(2*p.doubt, longestWait))
	if now.Sub(p.marked) > longestWait {
		p.doubt = firstDoubt
	}
	p.marked = now
	if p.phase == fleet.PhaseWarm {
		p.phase = fleet.PhaseCold
	}
}
