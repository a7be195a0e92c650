// Package trace sets up OpenTelemetry spans: one for each hop of a request,
// exported by OTLP or to a file.
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
	// traceFileMode is the mode of the spans' file.
	traceFileMode = 0o600
	scope         = "marigoldscale"
	parentHeader  = "traceparent"
)

// Tracer starts spans and passes their context on in W3C form.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	w3c      propagation.TraceContext
	file     *os.File
}

// Options says where spans go; with neither field set they are dropped.
type Options struct {
	Router ident.RouterID
	File   string // JSON lines, for demonstrations
	OTLP   string // host:port of a collector
}

// New makes a tracer, which must be closed.
func New(ctx context.Context, options Options) (*Tracer, error) {
	t := &Tracer{}
	attributes := resource.NewSchemaless(
		attribute.String("service.name", scope),
		attribute.String("service.instance.id", string(options.Router)))
	settings := []sdk.TracerProviderOption{sdk.WithResource(attributes)}
	if options.File != "" {
		file, err := os.OpenFile(options.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
		if err != nil {
			return nil, fmt.Errorf("opening span file: %w", err)
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, fmt.Errorf("making span file exporter: %w", err)
		}
		settings = append(settings, sdk.WithBatcher(exporter))
	}
	if options.OTLP != "" {
		exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(options.OTLP), otlptracegrpc.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("making OTLP exporter: %w", err)
		}
		settings = append(settings, sdk.WithBatcher(exporter))
	}
	if len(settings) == 1 {
		settings = append(settings, sdk.WithSampler(sdk.NeverSample()))
	}
	t.provider = sdk.NewTracerProvider(settings...)
	t.tracer = t.provider.Tracer(scope)
	return t, nil
}

// Remote gives a context that continues the trace of a traceparent header.
func (t *Tracer) Remote(ctx context.Context, parent string) context.Context {
	return t.w3c.Extract(ctx, propagation.MapCarrier{parentHeader: parent})
}

// Parent gives the traceparent header for calls made under ctx.
func (t *Tracer) Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	t.w3c.Inject(ctx, carrier)
	return carrier[parentHeader]
}

// Start begins the span of one hop.
func (t *Tracer) Start(ctx context.Context, hop string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, hop, trace.WithAttributes(attributes...))
}

// Close exports what is left.
func (t *Tracer) Close(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("shutting spans down: %w", err)
	}
	if t.file == nil {
		return nil
	}
	if err := t.file.Close(); err != nil {
		return fmt.Errorf("closing span file: %w", err)
	}
	return nil
}
