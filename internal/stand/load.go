package stand

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// minSampleInterval is the minimum time between two load samples.
const minSampleInterval = 5 * time.Millisecond

// LoadReport is the body of an endpoint's load report.
type LoadReport struct {
	fleet.Report
	Release ident.Release   `json:"release,omitzero"`
	Service ident.ServiceID `json:"service"`
	Leaving bool            `json:"leaving"`
}

// loadSample is the load at one time.
type loadSample struct {
	at     time.Time
	report fleet.Report
}

// recordLoad stores the current load for later reports.
func (e *Engine) recordLoad(now time.Time) {
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < minSampleInterval {
		return
	}
	e.samples = append(e.samples, loadSample{at: now, report: e.report(now)})
	for len(e.samples) > 1 && now.Sub(e.samples[1].at) >= e.spec.LoadReportLag {
		e.samples = e.samples[1:]
	}
}

// LoadReport returns the report that the engine publishes: its load as of
// EngineSpec.LoadReportLag ago, but not from before its last start. It returns an
// error while the engine is down and under EngineFaults.LoadReportDown.
func (e *Engine) LoadReport(now time.Time) (LoadReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down(now) || e.faults.LoadReportDown {
		return LoadReport{}, errDown
	}
	e.recordLoad(now)
	load := LoadReport{Report: e.samples[0].report, Leaving: e.faults.Leaving}
	if len(e.releases) > 0 {
		load.Release = e.releases[0]
	}
	if e.faults.ReportIdle {
		load.Running = 0
		load.Waiting = 0
		load.Warm = true
	}
	return load, nil
}
