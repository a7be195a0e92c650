// Package trace creates OpenTelemetry spans, one per hop of a request, and
// exports them by OTLP or to a file.
package trace

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"go.opentelemetry.io/otel/attribute"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// spanFileMode is the permission mode of the span file.
	spanFileMode      = 0o600
	serviceName       = "marigoldscale"
	traceparentHeader = "traceparent"
)

// Tracer starts spans and propagates their context in W3C Trace Context format.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	w3c      propagation.TraceContext
	file     *os.File
}

// Options configures where spans are exported. They are dropped if neither File
// nor OTLP is set.
type Options struct {
	Router ident.RouterID
	File   string // path of a file for JSON lines, for demonstrations
	OTLP   string // host:port of an OTLP collector
}

// New returns a tracer. The caller must close it.
func New(ctx context.Context, options Options) (*Tracer, error) {
	t := &Tracer{}
	attributes := resource.NewSchemaless(
		attribute.String("service.name", serviceName),
		attribute.String("service.instance.id", string(options.Router)))
	settings := []sdk.TracerProviderOption{sdk.WithResource(attributes)}
	if options.File != "" {
		file, err := os.OpenFile(options.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, spanFileMode)
		if err != nil {
			return nil, fmt.Errorf("opening span file: %w", err)
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, fmt.Errorf("creating span file exporter: %w", err)
		}
		settings = append(settings, sdk.WithBatcher(exporter))
	}
	if options.OTLP != "" {
		exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(options.OTLP), otlptracegrpc.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("creating OTLP exporter: %w", err)
		}
		settings = append(settings, sdk.WithBatcher(exporter))
	}
	if len(settings) == 1 {
		settings = append(settings, sdk.WithSampler(sdk.NeverSample()))
	}
	t.provider = sdk.NewTracerProvider(settings...)
	t.tracer = t.provider.Tracer(serviceName)
	return t, nil
}

// ContextFromHeader returns a context that continues the trace of a traceparent
// header.
func (t *Tracer) ContextFromHeader(ctx context.Context, parent string) context.Context {
	return t.w3c.Extract(ctx, propagation.MapCarrier{traceparentHeader: parent})
}

// Header returns the traceparent header for calls made with ctx.
func (t *Tracer) Header(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	t.w3c.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// Start starts the span of a hop. The caller must end it.
func (t *Tracer) Start(ctx context.Context, hop string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, hop, trace.WithAttributes(attributes...))
}

// Close exports the remaining spans and closes the span file.
func (t *Tracer) Close(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("shutting down span exporters: %w", err)
	}
	if t.file == nil {
		return nil
	}
	if err := t.file.Close(); err != nil {
		return fmt.Errorf("closing span file: %w", err)
	}
	return nil
}
