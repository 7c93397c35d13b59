package observe

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// TraceExporter selects the exporter of spans.
type TraceExporter string

// Trace exporters.
const (
	TraceNone TraceExporter = "none"
	TraceText TraceExporter = "stderr"
	TraceOTLP TraceExporter = "otlp"
)

// ErrTrace is returned if an exporter cannot be set up.
var ErrTrace = eris.New("observe: cannot set up trace exporter")

// tracerName is the instrumentation scope of the spans.
const tracerName = "rackspur"

// traceParentField is the W3C Trace Context field that identifies the parent span.
const traceParentField = "traceparent"

// StartTracing sets the global tracer provider and propagator. It returns a function that
// flushes pending spans. With TraceNone no spans are recorded, but trace contexts are still
// propagated.
func StartTracing(ctx context.Context, e TraceExporter, endpoint, service string, w io.Writer) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, e, endpoint, w)
	if err != nil {
		return nil, eris.Wrap(ErrTrace, err.Error())
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", service))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, e TraceExporter, endpoint string, w io.Writer) (trace.SpanExporter, error) {
	switch e {
	case TraceText:
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case TraceOTLP:
		return otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(endpoint), otlptracegrpc.WithInsecure())
	default:
		return nil, nil
	}
}

// Span starts a span.
func Span(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, oteltrace.WithAttributes(attrs...))
}

// TraceParent returns the traceparent field for the context's span.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier.Get(traceParentField)
}

// WithTraceParent returns a context whose spans have the given traceparent as their parent.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	carrier := propagation.MapCarrier{traceParentField: parent}
	return otel.GetTextMapPropagator().Extract(ctx, carrier)
}
