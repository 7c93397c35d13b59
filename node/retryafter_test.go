package node

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"rackspur/owner"
	"rackspur/rowstore"
)

// startReturnsEntry starts an entry box without agents, with a longest delay.
func startReturnsEntry(t *testing.T, limit time.Duration) (*cluster, *Entry) {
	c := &cluster{t: t, store: rowstore.NewMemory()}
	o := c.options("entry-0")
	o.Decisions.MaxRetryAfter = limit
	e, err := NewEntry(o, followTest)
	if err != nil {
		t.Fatal(err)
	}
	b := run(e, e.Run)
	t.Cleanup(func() {
		b.kill()
		<-b.done
	})
	c.until("the entry has an owner", func() bool { return e.current.Load() != nil })
	return c, e
}

// Refusals by a box that has no owner yet say 1 or 2 s, both; 1 s without the setting.
func TestRetryAfterWithoutOwner(t *testing.T) {
	for limit, longest := range map[time.Duration]time.Duration{0: time.Second, time.Second: time.Second, time.Minute: 2 * time.Second} {
		e := &Entry{options: Options{Decisions: owner.Decisions{MaxRetryAfter: limit}}}
		got := map[time.Duration]bool{}
		for i := range 50 {
			got[e.Refusal("").RetryAfter] = true
			got[e.Refusal(testJob(i, 1, false).ID).RetryAfter] = true
			got[e.RunBestEffort(context.Background(), testJob(i, 1, true)).RetryAfter] = true
		}
		if !got[time.Second] || !got[longest] || len(got) != int(longest/time.Second) {
			t.Errorf("limit %v: %v", limit, got)
		}
	}
}

// With no gate open and the store down, callers are told 1 or 2 s. The metrics show the
// delays and the jobs that came back.
func TestRetryAfterOfEntry(t *testing.T) {
	c, e := startReturnsEntry(t, 10*time.Second)
	var first owner.BestEffortResult
	c.until("a best-effort job is refused", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		first = e.RunBestEffort(ctx, testJob(1, 1, true))
		return first.Refused && e.current.Load().owner.Stats().Returned > 0
	})
	c.store.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultRefuse })
	durable := testJob(2, 1, false)
	c.until("a durable job is refused", func() bool { return submit(e, durable) == owner.SubmitRefused })
	for name, d := range map[string]time.Duration{"best effort": first.RetryAfter, "durable": e.Refusal(durable.ID).RetryAfter} {
		if d != time.Second && d != 2*time.Second {
			t.Errorf("%s: %v, want 1 or 2 s", name, d)
		}
	}
	var text bytes.Buffer
	e.options.Metrics.WriteText(&text)
	for _, name := range []string{"jobs_retry_after_ms", "jobs_returned"} {
		if !strings.Contains(text.String(), name) {
			t.Errorf("no metric %s in %s", name, text.String())
		}
	}
}
