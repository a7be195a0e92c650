package serve

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/marigoldscale/marigoldscale/internal/flow"
)

func requestAttributes(r flow.Request) []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("team", string(r.Key.Team)),
		attribute.String("request", string(r.Key.Request)),
		attribute.String("model", string(r.Model)),
		attribute.String("service", string(r.Service)),
	}
}

func endSpan(span trace.Span, refusal *flow.Refusal) {
	if refusal == nil {
		return
	}
	span.SetAttributes(attribute.String("ran", string(refusal.Ran)))
	span.SetStatus(codes.Error, string(refusal.Code))
}
