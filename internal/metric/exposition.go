package metric

import (
	"fmt"
	"io"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// namePrefix is the prefix of the name of every exposed metric.
const namePrefix = "marigoldscale_"

// Expose writes all metrics in the Prometheus text format, sorted by name.
func (s *Set) Expose(w io.Writer) error {
	families := s.families()
	names := make([]string, 0, len(families))
	for name := range families {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if _, err := expfmt.MetricFamilyToText(w, families[name]); err != nil {
			return fmt.Errorf("exposing metric %q: %w", name, err)
		}
	}
	return nil
}

func (s *Set) families() map[string]*dto.MetricFamily {
	families := map[string]*dto.MetricFamily{}
	s.registry.Each(func(key string, value any) {
		name, labels := parseKey(key)
		kind, m := convert(value)
		if m == nil {
			return
		}
		m.Label = labels
		family, ok := families[name]
		if !ok {
			family = &dto.MetricFamily{Name: proto.String(name), Type: kind.Enum()}
			families[name] = family
		}
		family.Metric = append(family.Metric, m)
	})
	return families
}

func convert(value any) (dto.MetricType, *dto.Metric) {
	switch v := value.(type) {
	case metrics.Counter:
		return dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: proto.Float64(float64(v.Count()))}}
	case metrics.Gauge:
		return dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(float64(v.Value()))}}
	case metrics.GaugeFloat64:
		return dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(v.Value())}}
	case metrics.Meter:
		return dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: proto.Float64(float64(v.Count()))}}
	case metrics.Histogram:
		return dto.MetricType_SUMMARY, summary(v.Snapshot())
	default:
		return dto.MetricType_UNTYPED, nil
	}
}

func summary(h metrics.Histogram) *dto.Metric {
	out := &dto.Summary{
		SampleCount: proto.Uint64(uint64(h.Count())),
		SampleSum:   proto.Float64(float64(h.Sum())),
	}
	for _, q := range []float64{0.5, 0.95, 0.99} {
		out.Quantile = append(out.Quantile, &dto.Quantile{
			Quantile: proto.Float64(q),
			Value:    proto.Float64(h.Percentile(q)),
		})
	}
	return &dto.Metric{Summary: out}
}

// parseKey decodes a registry key into labels and a name with only characters that
// are valid in Prometheus.
func parseKey(key string) (string, []*dto.LabelPair) {
	parts := strings.Split(key, labelSeparator)
	name := namePrefix + model.EscapeName(strings.ReplaceAll(parts[0], ".", "_"), model.UnderscoreEscaping)
	var labels []*dto.LabelPair
	for _, part := range parts[1:] {
		label, value, _ := strings.Cut(part, "=")
		labels = append(labels, &dto.LabelPair{Name: proto.String(label), Value: proto.String(value)})
	}
	return name, labels
}
