package observe

import (
	"context"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// Names of the metrics. Times are in microseconds.
const (
	MetricMessagesSent     = "messages.sent"
	MetricMessagesReceived = "messages.received"
	MetricMessagesWasted   = "messages.wasted"
	MetricBytesSent        = "bytes.sent"
	MetricBytesReceived    = "bytes.received"
	MetricTasksStarted     = "tasks.started"
	MetricTasksRefused     = "tasks.refused"
	MetricTaskTime         = "tasks.time_us"
	MetricResponseTime     = "submissions.time_us"
	MetricOutcomePrefix    = "submissions.outcome."
	MetricRefusalPrefix    = "submissions.refused."
	MetricPolicyPrefix     = "policy."
	MetricGrants           = "slots.granted"
	MetricGrantsReturned   = "slots.returned"
)

// Parameters of the exponentially decaying sample of a histogram.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Metrics is the metrics registry of a process.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry()}
}

// Count adds n to a counter.
func (m *Metrics) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Waste is the reason why a message contributed neither to a start nor to an answer.
type Waste string

// Reasons for wasted messages.
const (
	// WasteReport is a load report that no request needed.
	WasteReport Waste = "report"
	// WasteRefusal is a start that a gate refused, or the refusal.
	WasteRefusal Waste = "refusal"
	// WasteGrant is a slot granted and returned unused, or a withdrawn request for one.
	WasteGrant Waste = "grant"
	// WasteAck is a message that carries only an acknowledgement.
	WasteAck Waste = "ack"
)

// Wasted counts wasted messages in total and by reason.
func (m *Metrics) Wasted(reason Waste, n int64) {
	m.Count(MetricMessagesWasted, n)
	m.Count(MetricMessagesWasted+"."+string(reason), n)
}

// Value returns the value of a counter.
func (m *Metrics) Value(name string) int64 {
	return metrics.GetOrRegisterCounter(name, m.registry).Count()
}

// Gauge registers a gauge whose value is that of f.
func (m *Metrics) Gauge(name string, f func() int64) {
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(f))
}

// Time adds a sample in microseconds to a histogram.
func (m *Metrics) Time(name string, micros int64) { m.Sample(name, micros) }

// Sample adds a value to a histogram.
func (m *Metrics) Sample(name string, value int64) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	h.(metrics.Histogram).Update(value)
}

// ServeHTTP implements http.Handler.ServeHTTP. It responds with all metrics as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(m.registry, w)
}

// Messages returns a gRPC stats handler that counts messages and bytes.
func (m *Metrics) Messages() stats.Handler {
	return &messageCounter{
		sent:     metrics.GetOrRegisterCounter(MetricMessagesSent, m.registry),
		received: metrics.GetOrRegisterCounter(MetricMessagesReceived, m.registry),
		out:      metrics.GetOrRegisterCounter(MetricBytesSent, m.registry),
		in:       metrics.GetOrRegisterCounter(MetricBytesReceived, m.registry),
		metrics:  m,
	}
}

// messageCounter implements stats.Handler.
type messageCounter struct {
	sent, received, out, in metrics.Counter
	metrics                 *Metrics
}

type methodKey struct{}

// TagRPC implements stats.Handler.TagRPC.
func (c *messageCounter) TagRPC(ctx context.Context, i *stats.RPCTagInfo) context.Context {
	name := i.FullMethodName[strings.LastIndexByte(i.FullMethodName, '/')+1:]
	counter := metrics.GetOrRegisterCounter(MetricMessagesSent+"."+strings.ToLower(name), c.metrics.registry)
	return context.WithValue(ctx, methodKey{}, counter)
}

// HandleRPC implements stats.Handler.HandleRPC.
func (c *messageCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch v := s.(type) {
	case *stats.OutPayload:
		c.sent.Inc(1)
		c.out.Inc(int64(v.WireLength))
		if counter, ok := ctx.Value(methodKey{}).(metrics.Counter); ok {
			counter.Inc(1)
		}
	case *stats.InPayload:
		c.received.Inc(1)
		c.in.Inc(int64(v.WireLength))
	}
}

// TagConn implements stats.Handler.TagConn.
func (c *messageCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.HandleConn.
func (c *messageCounter) HandleConn(context.Context, stats.ConnStats) {}
