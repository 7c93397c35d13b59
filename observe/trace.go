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

// TraceExporter says where spans go.
type TraceExporter string

// The exporters.
const (
	TraceNone TraceExporter = "none"
	TraceText TraceExporter = "stderr"
	TraceOTLP TraceExporter = "otlp"
)

// ErrTrace says that an exporter can't be set up.
var ErrTrace = eris.New("observe: trace exporter")

// tracerName names the spans' instrumentation scope.
const tracerName = "rackspur"

// traceParent is the name of the W3C field that carries a span's identity.
const traceParent = "traceparent"

// StartTracing sets the process's tracer. It returns a function that flushes
// what is left. With TraceNone, trace identities still travel along.
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

// Span starts a span for a hop.
func Span(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, oteltrace.WithAttributes(attrs...))
}

// TraceParent returns the identity of the context's span for a message.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier.Get(traceParent)
}

// WithTraceParent returns a context whose spans continue the given one.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	carrier := propagation.MapCarrier{traceParent: parent}
	return otel.GetTextMapPropagator().Extract(ctx, carrier)
}
