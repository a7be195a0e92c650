package router

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marigoldscale/marigoldscale/internal/metric"
)

// stats counts what control costs this router.
type stats struct {
	beatsSent     atomic.Int64
	beatBytesSent atomic.Int64
	beatsHeard    atomic.Int64
	beatBytes     atomic.Int64
	views         atomic.Int64
	viewNanos     atomic.Int64
}

func (s *stats) sent(m proto.Message) {
	s.beatsSent.Add(1)
	s.beatBytesSent.Add(int64(proto.Size(m)))
}

func (s *stats) received(m proto.Message) {
	s.beatsHeard.Add(1)
	s.beatBytes.Add(int64(proto.Size(m)))
}

func (s *stats) control(took time.Duration) {
	s.views.Add(1)
	s.viewNanos.Add(int64(took))
}

// show writes the counts as gauges.
func (s *stats) show(m *metric.Set) {
	m.Gauge("heartbeats_sent", s.beatsSent.Load())
	m.Gauge("heartbeat_bytes_sent", s.beatBytesSent.Load())
	m.Gauge("heartbeats_received", s.beatsHeard.Load())
	m.Gauge("heartbeat_bytes_received", s.beatBytes.Load())
	m.Gauge("views_published", s.views.Load())
	m.Gauge("view_nanos", s.viewNanos.Load())
}
