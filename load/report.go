package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rackspur/api"
)

// Unit, maximum and significant digits of the histograms. Ratios are recorded in
// thousandths.
const (
	ratioUnit   = 1000
	maxRatio    = 1000 * ratioUnit
	ratioDigits = 3
)

// Report holds the measurements of a load.
type Report struct {
	Scenario string  `json:"scenario"`
	Load     float64 `json:"load"`
	// Seconds is the duration of the run, up to the last answer.
	Seconds float64 `json:"seconds"`
	// Offered and Done are the work of all submissions and that of complete ones as
	// shares of the slots. Offered counts over the scenario's duration, Done until the
	// last complete answer if that is later.
	Offered float64 `json:"offered"`
	Done    float64 `json:"done"`
	// Wrong counts answers whose results don't match the job.
	Wrong int          `json:"wrong"`
	Kinds []KindReport `json:"kinds"`
	// Reference is the distribution of ratios with a central queue without latency.
	Reference Summary `json:"reference"`

	samples []sample
}

// KindReport is the part of a report about one kind of request or all kinds.
type KindReport struct {
	Kind     string         `json:"kind"`
	Sent     int            `json:"sent"`
	Tasks    int            `json:"tasks"`
	Outcomes map[string]int `json:"outcomes"`
	// Ratio is the response time of complete submissions divided by the ideal.
	Ratio Summary `json:"ratio"`
	// ResponseMS is the response time of complete submissions in milliseconds.
	ResponseMS Summary `json:"response_ms"`
	// RefusedMS is the response time in milliseconds of submissions that were not
	// run.
	RefusedMS Summary `json:"refused_ms"`
}

// Summary holds the mean and percentiles of a distribution.
type Summary struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// allKinds is the name of the KindReport about all kinds.
const allKinds = "all"

func (r *runner) report(list []arrival, took time.Duration) *Report {
	rep := &Report{Scenario: r.scenario.Name, Load: r.scenario.Load, Seconds: took.Seconds(), samples: r.samples}
	capacity := r.scenario.Duration.Seconds() * float64(r.scenario.Slots)
	for _, a := range list {
		rep.Offered += a.work.Seconds() / capacity
	}
	// Done counts work answered after the last arrival, so it is a share of the
	// longer time.
	capacity = max(capacity, r.lastDone().Seconds()*float64(r.scenario.Slots))
	byKind := map[string][]sample{}
	for _, s := range r.samples {
		byKind[s.kind] = append(byKind[s.kind], s)
		byKind[allKinds] = append(byKind[allKinds], s)
		if s.outcome == string(api.Complete) {
			rep.Done += s.work.Seconds() / capacity
		}
		if s.wrong {
			rep.Wrong++
		}
	}
	rep.Reference = kindReport(allKinds, r.scenario.reference(list)).Ratio
	var names []string
	for name := range byKind {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		rep.Kinds = append(rep.Kinds, kindReport(name, byKind[name]))
	}
	return rep
}

// lastDone returns the time of the last complete answer.
func (r *runner) lastDone() time.Duration {
	last := time.Duration(0)
	for _, s := range r.samples {
		if s.outcome == string(api.Complete) {
			last = max(last, s.at+s.response)
		}
	}
	return last
}

func kindReport(name string, samples []sample) KindReport {
	k := KindReport{Kind: name, Sent: len(samples), Outcomes: map[string]int{}}
	ratio, response, refused := newHistogram(), newHistogram(), newHistogram()
	for _, s := range samples {
		k.Tasks += s.tasks
		outcome := s.outcome
		if s.reason != "" {
			outcome += "/" + s.reason
		}
		k.Outcomes[outcome]++
		micros := s.response.Microseconds()
		switch s.outcome {
		case string(api.Complete):
			record(ratio, int64(ratioUnit*s.response.Seconds()/s.ideal.Seconds()))
			record(response, micros)
		case string(api.NotRun):
			record(refused, micros)
		}
	}
	k.Ratio = spread(ratio)
	k.ResponseMS = spread(response)
	k.RefusedMS = spread(refused)
	return k
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio*100, ratioDigits)
}

func record(h *hdrhistogram.Histogram, v int64) {
	_ = h.RecordValue(max(1, min(v, maxRatio*100)))
}

func spread(h *hdrhistogram.Histogram) Summary {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / ratioUnit }
	return Summary{Mean: h.Mean() / ratioUnit, P50: at(50), P99: at(99), P999: at(99.9)}
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "scenario %s at %.0f%% of the slots: %.1f s, offered %.1f%%, done %.1f%%, wrong answers %d\n",
		r.Scenario, 100*r.Load, r.Seconds, 100*r.Offered, 100*r.Done, r.Wrong)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsent\ttasks\tratio mean\tp50\tp99\tp99.9\tms mean\tp99\trefused ms p99\t outcomes\t")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t %v\t\n", k.Kind, k.Sent, k.Tasks,
			k.Ratio.Mean, k.Ratio.P50, k.Ratio.P99, k.Ratio.P999, k.ResponseMS.Mean, k.ResponseMS.P99, k.RefusedMS.P99, k.Outcomes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "a central queue without latency: ratio mean %.3f, p50 %.3f, p99 %.3f, p99.9 %.3f\n",
		r.Reference.Mean, r.Reference.P50, r.Reference.P99, r.Reference.P999)
	return err
}
