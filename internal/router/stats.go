package router

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marigoldscale/marigoldscale/internal/metric"
)

// stats counts heartbeat traffic and the cost of computing views.
type stats struct {
	heartbeatsSent         atomic.Int64
	heartbeatBytesSent     atomic.Int64
	heartbeatsReceived     atomic.Int64
	heartbeatBytesReceived atomic.Int64
	viewsPublished         atomic.Int64
	viewNanos              atomic.Int64
}

func (s *stats) recordSent(m proto.Message) {
	s.heartbeatsSent.Add(1)
	s.heartbeatBytesSent.Add(int64(proto.Size(m)))
}

func (s *stats) recordReceived(m proto.Message) {
	s.heartbeatsReceived.Add(1)
	s.heartbeatBytesReceived.Add(int64(proto.Size(m)))
}

func (s *stats) recordView(took time.Duration) {
	s.viewsPublished.Add(1)
	s.viewNanos.Add(int64(took))
}

// export sets the counts as gauges.
func (s *stats) export(m *metric.Set) {
	m.Gauge("heartbeats_sent", s.heartbeatsSent.Load())
	m.Gauge("heartbeat_bytes_sent", s.heartbeatBytesSent.Load())
	m.Gauge("heartbeats_received", s.heartbeatsReceived.Load())
	m.Gauge("heartbeat_bytes_received", s.heartbeatBytesReceived.Load())
	m.Gauge("views_published", s.viewsPublished.Load())
	m.Gauge("view_nanos", s.viewNanos.Load())
}
