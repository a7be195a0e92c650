package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/pass"
	"go.uber.org/zap"
)

// open sends the head of a stream.
func (c *call) openStream(o pass.Open) {
	c.firstDelay, c.streamAttempt = c.server.clock().Sub(c.arrived), o.Attempt
	r := c.exchanges[o.Attempt].response
	c.log("opened", zap.Int("attempt", int(o.Attempt)), zap.Duration("next", c.nextDelay),
		zap.Int("confidence", c.server.codec.ParseResponse(r.StatusCode, r.Header).Confidence))
	copyResponseHeaders(c.w.Header(), r.Header)
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(r.StatusCode)
}

// emit sends one event on.
func (c *call) writeEvent(e pass.Emit) {
	c.sentEvents++
	if _, err := c.w.Write(e.Data); err != nil {
		return // the caller is gone; its context ends
	}
	_ = http.NewResponseController(c.w).Flush() // as above
}

// reply sends a whole answer on.
func (c *call) writeResponse(p pass.Reply) {
	x := c.exchanges[p.Attempt]
	c.firstDelay = c.server.clock().Sub(c.arrived)
	copyResponseHeaders(c.w.Header(), x.response.Header)
	if c.r.Method != http.MethodHead {
		c.w.Header().Del("Content-Length")
	}
	c.w.WriteHeader(x.response.StatusCode)
	_, _ = c.w.Write(x.responseBody) // a caller who is gone needs no more
	c.log("answered", zap.Int("status", x.response.StatusCode), zap.Int("bytes", len(x.responseBody)))
}

// refuse answers with a failure of the router's own.
func (c *call) refuse(status int, after time.Duration, reason string) {
	h := c.w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "application/json")
	c.server.codec.SetRequestID(h, c.head.ID)
	if after > 0 {
		c.server.codec.SetRetryAfter(h, after)
	}
	c.w.WriteHeader(status)
	body, _ := json.Marshal(map[string]string{"error": reason}) // of strings, cannot fail
	_, _ = c.w.Write(body)                                      // a caller who is gone needs no more
	c.warn("refused", zap.Int("status", status), zap.Duration("after", after), zap.String("reason", reason))
}

// log writes a line on the request, and counts it.
func (c *call) log(what string, fields ...zap.Field) {
	c.server.log.Info(what, c.fields(what, fields)...)
}

func (c *call) warn(what string, fields ...zap.Field) {
	c.server.log.Warn(what, c.fields(what, fields)...)
}

func (c *call) fields(what string, fields []zap.Field) []zap.Field {
	name := ""
	if c.route != nil {
		name = string(c.route.ID)
	}
	took := c.server.clock().Sub(c.arrived)
	c.server.metrics.Count("relay_lines_total", 1, metric.Label{Name: "event", Value: what}, metric.Label{Name: "route", Value: name})
	if what == "opened" || what == "answered" || what == "refused" || what == "broken off" {
		c.server.metrics.Observe("relay_request", took, metric.Label{Name: "event", Value: what})
	}
	all := []zap.Field{
		zap.String("request", string(c.head.ID)), zap.String("route", name),
		zap.Duration("took", took), zap.Duration("first", c.firstDelay),
	}
	if config := c.server.control.View().Config; config != nil {
		all = append(all, zap.Uint64("generation", uint64(config.Generation)))
	}
	return append(all, fields...)
}
