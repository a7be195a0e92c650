package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

const (
	coldAfterSilence    = 2 * time.Second        // without a report, the endpoint is presumed cold
	downAfterSilence    = 6 * time.Second        // without a report, the endpoint is presumed down
	downAfterFailures   = 3                      // consecutive failures
	coldAfterSlowTokens = 3                      // consecutive slow first tokens
	slowTokenRatio      = 4.0                    // a first token is slow beyond this multiple of the expected time
	minSlowToken        = 500 * time.Millisecond // and beyond this absolute time
	initialHoldDown     = 1 * time.Second        // time after a mark during which warm reports are ignored
	maxHoldDown         = 30 * time.Second       // upper limit, as repeated marks double that time
)

// Observation is an input of the phase detection: ReportReceived, FirstToken,
// ConnectionFailed, ColdMark, ZoneRestored or TimeElapsed.
type Observation interface{ observation() }

// ReportReceived carries a report of the endpoint, which this router requested at
// Requested.
type ReportReceived struct {
	Requested time.Time
	Report    fleet.Report
}

// FirstToken carries the measured and the expected time to a first token.
type FirstToken struct{ Latency, Expected time.Duration }

// ConnectionFailed reports a failed or broken connection. RunInterrupted reports
// whether a request was running on it.
type ConnectionFailed struct{ RunInterrupted bool }

// ColdMark reports that another router presumes the endpoint cold for reasons other
// than the endpoint's own report. It is encoded as JSON under the names of its
// fields.
type ColdMark struct {
	Boot string
	Age  time.Duration // time since the mark when it was sent
}

// ZoneRestored reports that operators restored the endpoint's zone. Earlier reports
// no longer apply.
type ZoneRestored struct{}

// TimeElapsed reports that time has passed.
type TimeElapsed struct{}

func (ReportReceived) observation()   {}
func (FirstToken) observation()       {}
func (ConnectionFailed) observation() {}
func (ColdMark) observation()         {}
func (ZoneRestored) observation()     {}
func (TimeElapsed) observation()      {}

// PhaseDetector determines an endpoint's phase from this router's observations. It
// is not safe for concurrent use. The zero value stands for an endpoint never
// observed, which is cold.
type PhaseDetector struct {
	phase      fleet.Phase
	boot       string
	reported   time.Time     // when the newest report was received
	markedCold time.Time     // when it was last presumed cold despite its own report
	holdDown   time.Duration // time after markedCold during which warm reports are ignored
	failures   int
	slowTokens int
}

// Step applies an observation and returns the phase.
func (p *PhaseDetector) Step(now time.Time, o Observation) fleet.Phase {
	switch s := o.(type) {
	case ReportReceived:
		p.applyReport(now, s)
	case FirstToken:
		p.applyLatency(now, s)
	case ConnectionFailed:
		p.applyFailure(now, s)
	case ColdMark:
		p.applyRemoteMark(now, s)
	case ZoneRestored:
		p.markCold(now)
	case TimeElapsed:
		p.applySilence(now)
	}
	return p.phase
}

// Phase returns the phase as of the last observation.
func (p *PhaseDetector) Phase() fleet.Phase { return p.phase }

// Mark returns the mark to send to other routers, if the endpoint was presumed cold
// within maxHoldDown.
func (p *PhaseDetector) Mark(now time.Time) (ColdMark, bool) {
	if p.markedCold.IsZero() || now.Sub(p.markedCold) > maxHoldDown {
		return ColdMark{}, false
	}
	return ColdMark{Boot: p.boot, Age: now.Sub(p.markedCold)}, true
}

// applyReport accepts the endpoint's own phase, unless it reports warm during
// the hold-down after a mark.
func (p *PhaseDetector) applyReport(now time.Time, s ReportReceived) {
	rebooted := p.boot != "" && s.Report.Boot != p.boot
	p.boot = s.Report.Boot
	p.reported = now
	p.failures = 0
	if rebooted {
		p.markCold(now)
	}
	switch {
	case !s.Report.Warm:
		p.phase = fleet.PhaseCold
	case p.markedCold.IsZero() || s.Requested.After(p.markedCold.Add(p.holdDown)):
		p.phase = fleet.PhaseWarm
	case p.phase == fleet.PhaseDown:
		p.phase = fleet.PhaseCold
	}
}

// applyLatency marks the endpoint cold after consecutive slow first tokens.
func (p *PhaseDetector) applyLatency(now time.Time, s FirstToken) {
	p.failures = 0
	slow := float64(s.Latency) > slowTokenRatio*float64(s.Expected) && s.Latency > minSlowToken
	if !slow {
		p.slowTokens = 0
		return
	}
	if p.slowTokens++; p.slowTokens >= coldAfterSlowTokens {
		p.slowTokens = 0
		p.markCold(now)
	}
}

// applyFailure marks the endpoint cold, or down after consecutive failures.
func (p *PhaseDetector) applyFailure(now time.Time, s ConnectionFailed) {
	p.failures++
	if s.RunInterrupted || p.failures == 1 {
		p.markCold(now)
	}
	if p.failures >= downAfterFailures {
		p.phase = fleet.PhaseDown
	}
}

// applyRemoteMark applies another router's mark, unless it is for another boot.
func (p *PhaseDetector) applyRemoteMark(now time.Time, s ColdMark) {
	if s.Boot != p.boot {
		return
	}
	at := now.Add(-s.Age)
	if !at.After(p.markedCold) {
		return
	}
	p.markedCold = at
	p.holdDown = max(p.holdDown, initialHoldDown)
	if p.phase == fleet.PhaseWarm {
		p.phase = fleet.PhaseCold
	}
}

// applySilence marks an endpoint without recent reports cold or down.
func (p *PhaseDetector) applySilence(now time.Time) {
	silence := now.Sub(p.reported)
	switch {
	case p.reported.IsZero():
	case silence > downAfterSilence && p.phase != fleet.PhaseDown:
		p.markCold(now)
		p.phase = fleet.PhaseDown
	case silence > coldAfterSilence && p.phase == fleet.PhaseWarm:
		p.markCold(now)
	}
}

// markCold presumes the endpoint cold despite its own report. Repeated marks double
// the time for which warm reports are ignored.
func (p *PhaseDetector) markCold(now time.Time) {
	p.holdDown = max(initialHoldDown, min(2*p.holdDown, maxHoldDown))
	if now.Sub(p.markedCold) > maxHoldDown {
		p.holdDown = initialHoldDown
	}
	p.markedCold = now
	if p.phase == fleet.PhaseWarm {
		p.phase = fleet.PhaseCold
	}
}
