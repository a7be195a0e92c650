// Package metric records a router's metrics in a go-metrics registry and exposes
// them in the Prometheus text format.
package metric

import (
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// histogramSampleSize and histogramSampleAlpha are the parameters of the
	// exponentially decaying samples of histograms.
	histogramSampleSize  = 1028
	histogramSampleAlpha = 0.015
	// labelSeparator separates a metric's name and its labels in a registry key.
	labelSeparator = "|"
)

// Set is the set of metrics of a process.
type Set struct {
	registry metrics.Registry
}

// New returns an empty set.
func New() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Registry returns the underlying registry, for packages that record metrics
// directly.
func (s *Set) Registry() metrics.Registry {
	return s.registry
}

// Label is a dimension of a metric.
type Label struct {
	Name  string
	Value string
}

// Count adds n to a counter.
func (s *Set) Count(name string, n int64, labels ...Label) {
	metrics.GetOrRegisterCounter(registryKey(name, labels), s.registry).Inc(n)
}

// Gauge sets a gauge.
func (s *Set) Gauge(name string, value int64, labels ...Label) {
	metrics.GetOrRegisterGauge(registryKey(name, labels), s.registry).Update(value)
}

// Observe records a duration in a histogram, in microseconds.
func (s *Set) Observe(name string, d time.Duration, labels ...Label) {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramSampleAlpha))
	}
	h := s.registry.GetOrRegister(registryKey(name, labels), newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Request counts a finished request.
func (s *Set) Request(route string, team ident.TeamID, release ident.Release, outcome string) {
	s.Count("requests_total", 1,
		Label{"route", route},
		Label{"team", string(team)},
		Label{"model", string(release.Model)},
		Label{"version", string(release.Version)},
		Label{"outcome", outcome})
}

// registryKey encodes a name and its labels as a registry key.
func registryKey(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for _, l := range labels {
		b.WriteString(labelSeparator)
		b.WriteString(l.Name)
		b.WriteByte('=')
		b.WriteString(l.Value)
	}
	return b.String()
}
