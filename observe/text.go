package observe

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of histograms that WriteText writes.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteText writes all metrics in the Prometheus text format.
func (m *Metrics) WriteText(w io.Writer) {
	m.registry.Each(func(name string, metric any) {
		name = strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch v := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, v.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "%s %d\n", name, v.Value())
		case metrics.Histogram:
			writeHistogram(w, name, v.Snapshot())
		}
	})
}

func writeHistogram(w io.Writer, name string, h metrics.Histogram) {
	for i, value := range h.Percentiles(quantiles) {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %.0f\n", name, quantiles[i], value)
	}
	fmt.Fprintf(w, "%s_count %d\n%s_sum %d\n", name, h.Count(), name, h.Sum())
}

// TextHandler returns a handler that responds with WriteText.
func (m *Metrics) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.WriteText(w)
	})
}
