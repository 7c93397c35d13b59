package test

import (
	"strings"
	"testing"
)

// TestTraceEachHop traces a submission from the caller to the target. Every hop must
// have a span in the same trace, and no span may contain a payload or a secret.
func TestTraceEachHop(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 4,
		entryArgs: []string{"--trace", "stderr"}, agentArgs: []string{"--trace", "stderr"}})
	job := newJob(t, "swap", 1, 20)
	r := command(t, string(mustJSON(t, job)), "submit", "--entry", c.entries[0].url, "--token", tokenA, "--trace", "stderr")
	if r.code != 0 {
		t.Fatalf("exit %d: %s", r.code, r.errOut)
	}
	// A planned stop flushes the spans.
	c.entries[0].stop()
	c.agents[0].stop()
	trace := traceOf(r.errOut, "caller.submit")
	if trace == "" {
		t.Fatalf("no span of the caller: %s", r.errOut)
	}
	hops := []struct{ where, log, span string }{
		{"entry box", c.entries[0].log.String(), "PUT /v1/submissions/{id}"},
		{"entry box", c.entries[0].log.String(), "entry.submit"},
		{"home", c.agents[0].log.String(), "home.submit"},
		{"gate", c.agents[0].log.String(), "gate.run"},
		{"call of the target", c.agents[0].log.String(), "HTTP POST"},
	}
	for _, hop := range hops {
		if !hasSpan(hop.log, hop.span, trace) {
			t.Errorf("%s: no span %s in trace %s", hop.where, hop.span, trace)
		}
	}
	for _, log := range []string{r.errOut, c.entries[0].log.String(), c.agents[0].log.String()} {
		if strings.Contains(log, "secret-a") || strings.Contains(log, t.Name()) {
			t.Error("a span or log line contains a secret or a payload")
		}
	}
}

const (
	nameField  = `"Name":"`
	traceField = `"TraceID":"`
)

// traceOf returns the trace id of the first span with the name.
func traceOf(log, span string) string {
	for _, line := range strings.Split(log, "\n") {
		if strings.Contains(line, nameField+span+`"`) {
			_, rest, _ := strings.Cut(line, traceField)
			id, _, _ := strings.Cut(rest, `"`)
			return id
		}
	}
	return ""
}

func hasSpan(log, span, trace string) bool {
	for _, line := range strings.Split(log, "\n") {
		if strings.Contains(line, nameField+span+`"`) && strings.Contains(line, traceField+trace+`"`) {
			return true
		}
	}
	return false
}
