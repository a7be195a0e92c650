// Package metric counts what the router does, in a go-metrics registry that a
// scraper can read.
package metric

import (
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// sampleSize and sampleAlpha shape the decaying samples of latencies.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// separator parts a metric's name from its labels within the registry.
	separator = "|"
)

// Set is one router's metrics.
type Set struct {
	registry metrics.Registry
}

// New makes an empty set.
func New() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Registry gives the underlying registry, for packages that count for
// themselves.
func (s *Set) Registry() metrics.Registry {
	return s.registry
}

// Label is one dimension of a metric.
type Label struct {
	Name  string
	Value string
}

// Count adds n to a counter.
func (s *Set) Count(name string, n int64, labels ...Label) {
	metrics.GetOrRegisterCounter(join(name, labels), s.registry).Inc(n)
}

// Gauge sets a gauge.
func (s *Set) Gauge(name string, value int64, labels ...Label) {
	metrics.GetOrRegisterGauge(join(name, labels), s.registry).Update(value)
}

// Observe records a duration, in microseconds.
func (s *Set) Observe(name string, d time.Duration, labels ...Label) {
	fresh := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	h := s.registry.GetOrRegister(join(name, labels), fresh).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Request counts one finished request.
func (s *Set) Request(route string, team ident.TeamID, release ident.Release, outcome string) {
	s.Count("requests_total", 1,
		Label{"route", route},
		Label{"team", string(team)},
		Label{"model", string(release.Model)},
		Label{"version", string(release.Version)},
		Label{"outcome", outcome})
}

// join packs a name and its labels into one registry key.
func join(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for _, l := range labels {
		b.WriteString(separator)
		b.WriteString(l.Name)
		b.WriteByte('=')
		b.WriteString(l.Value)
	}
	return b.String()
}
