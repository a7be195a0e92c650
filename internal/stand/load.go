package stand

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// sampleSpacing is the shortest time between two load samples.
const sampleSpacing = 5 * time.Millisecond

// Load is the body of an endpoint's load report.
type LoadReport struct {
	fleet.Report
	Release ident.Release   `json:"release,omitzero"`
	Service ident.ServiceID `json:"service"`
	Leaving bool            `json:"leaving"`
}

// sample is the load at one time.
type sample struct {
	at     time.Time
	report fleet.Report
}

// sample remembers the present load for later reports.
func (e *Engine) sample(now time.Time) {
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < sampleSpacing {
		return
	}
	e.samples = append(e.samples, sample{at: now, report: e.report(now)})
	for len(e.samples) > 1 && now.Sub(e.samples[1].at) >= e.spec.LoadReportLag {
		e.samples = e.samples[1:]
	}
}

// Load gives the report that the engine publishes: its load as it was
// EngineSpec.LoadLag ago. Boot and Warm are not older than the last start.
func (e *Engine) LoadReport(now time.Time) (LoadReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down(now) || e.faults.LoadReportDown {
		return LoadReport{}, errDown
	}
	e.sample(now)
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
