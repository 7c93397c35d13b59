package test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"rackspur/api"
	"rackspur/internal/standin"
)

func mustJSON(t *testing.T, v any) []byte {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func body(t *testing.T, url string) []byte {
	t.Helper()
	res, err := quickClient.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// refusal is a reason to refuse a job and how to provoke it.
type refusal struct {
	name        string
	declaration string
	// refuse causes the job with the id to be refused.
	refuse func(t *testing.T, c *cluster, id string, job *api.Job)
	// caused, if not nil, reports whether what refuse has caused still held at a time; nil
	// means that it lasts.
	caused func(c *cluster, at time.Time) bool
	reason string
	status int
}

// maxLateRequests is how often the cause of a refusal may end before the job is submitted,
// on a box without processor time.
const maxLateRequests = 5

// TestNotRun provokes each reason to refuse a job. A job refused as "not-run" must not
// have run and must not run later, even if it is sent again under the same id.
func TestNotRun(t *testing.T) {
	cases := []refusal{
		{name: "1 quota of the rate", declaration: quota("rate: 0.001"), reason: "quota-rate", status: http.StatusTooManyRequests,
			refuse: func(t *testing.T, c *cluster, _ string, _ *api.Job) { consumeQuota(t, c, 1, 50) }},
		{name: "2 quota of the concurrency", declaration: quota("concurrency: 1"), reason: "quota-concurrency", status: http.StatusTooManyRequests,
			refuse: func(t *testing.T, c *cluster, _ string, _ *api.Job) { occupySlots(t, c, 1, 1200) }},
		{name: "3 admission", declaration: declaration("limits: {max_wait_ms: 1}"), reason: "overloaded", status: http.StatusTooManyRequests,
			refuse: func(t *testing.T, c *cluster, _ string, _ *api.Job) { occupySlots(t, c, 120, 400) },
			caused: func(c *cluster, at time.Time) bool { return c.startsAfter(occupyingKind, at) > 0 }},
		{name: "4 target leaving", declaration: declaration(""), reason: "leaving", status: http.StatusServiceUnavailable,
			refuse: func(t *testing.T, c *cluster, id string, _ *api.Job) { drain(t, c, c.homeOf(id)) }},
		{name: "5 cancelled before it was sent", declaration: declaration(""), reason: "cancelled", status: http.StatusServiceUnavailable,
			refuse: func(t *testing.T, c *cluster, id string, _ *api.Job) {
				if _, err := c.client(tokenA, 0).Call(c.context(), http.MethodDelete, id, nil); err != nil {
					t.Fatal(err)
				}
			}},
		{name: "6 home left in order", declaration: declaration(""), reason: "left", status: http.StatusServiceUnavailable,
			refuse: func(t *testing.T, c *cluster, id string, _ *api.Job) { c.agents[c.homeOf(id)].stop() }},
		{name: "7 home left while the store was down", declaration: declaration(""), reason: "left", status: http.StatusServiceUnavailable,
			refuse: func(t *testing.T, c *cluster, id string, _ *api.Job) {
				c.platformFaults(standin.PlatformFaults{Down: true})
				c.agents[c.homeOf(id)].stop()
			}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{entries: 1, agents: 2, slots: 4, declaration: tc.declaration})
			for late := 0; !checkRefusal(t, c, tc); late++ {
				if late == maxLateRequests {
					t.Fatalf("the cause of the refusal has ended before the request %d times", late)
				}
			}
		})
	}
}

// checkRefusal checks that a job is refused, again and again, and never runs. It returns
// false if the cause of the refusal had ended when the job was submitted.
func checkRefusal(t *testing.T, c *cluster, tc refusal) (caused bool) {
	t.Helper()
	client := c.client(tokenA, 0)
	id := c.id(client)
	job := newJob(t, "swap", 2, 50)
	tc.refuse(t, c, id, job)
	for try := range 3 {
		sent := time.Now()
		r, err := client.Call(c.context(), http.MethodPut, id, mustJSON(t, job))
		if err != nil {
			t.Fatal(err)
		}
		if try == 0 && r.Outcome() == api.Complete && tc.caused != nil && !tc.caused(c, sent) {
			t.Logf("%s: the cause had ended when the job was submitted", tc.name)
			return false
		}
		if r.Outcome() != api.NotRun || r.Problem.Reason != tc.reason || r.Status != tc.status {
			t.Fatalf("try %d: want not-run for %s: status %d, %+v %+v", try, tc.reason, r.Status, r.Problem, r.Answer)
		}
		c.awaitIdle()
	}
	c.platformFaults(standin.PlatformFaults{})
	r, err := client.Call(c.context(), http.MethodPut, id, mustJSON(t, job))
	if err != nil || r.Outcome() != api.NotRun {
		t.Errorf("the refusal changed: %v %+v", err, r)
	}
	c.checkNever(job)
	return true
}

// quota returns the test declaration with a quota for the first member.
func quota(line string) string {
	d := declaration("")
	return "members:\n  - {name: ghanta, secrets: ['" + hashA + "'], " + line + "}" + d[len("members:\n  - {name: ghanta, secrets: ['"+hashA+"']}"):]
}

// consumeQuota runs a job to completion, which uses up the quota.
func consumeQuota(t *testing.T, c *cluster, tasks, ms int) {
	client := c.client(tokenA, 0)
	job := newJob(t, "swap", tasks, ms)
	r, err := client.Submit(c.context(), c.id(client), job)
	if err != nil {
		t.Fatal(err)
	}
	checkComplete(t, job, r)
}

// occupyingKind is the kind of the jobs of occupySlots.
const occupyingKind = "reshuffle"

// occupySlots submits a job and returns while its tasks run.
func occupySlots(t *testing.T, c *cluster, tasks, ms int) {
	client := c.client(tokenA, 0)
	job := newJob(t, occupyingKind, tasks, ms)
	id := c.id(client)
	go func() { _, _ = client.Submit(c.context(), id, job) }()
	c.awaitStarts(job, min(tasks, 8))
	waitFor(t, "the entry box knows of the running tasks", func() bool {
		st, ok := entryStatus(c.entries[0])
		running := uint32(0)
		for _, a := range st.Agents {
			running += a.Running
		}
		return ok && int(running) >= min(tasks, 8)
	})
}

// drain makes an agent leave with the drain command and waits until it is leaving.
func drain(t *testing.T, c *cluster, agent int) {
	t.Helper()
	r := command(t, "", "drain", c.agents[agent].name, "--ops", c.entries[0].ops)
	if r.code != 0 {
		t.Fatal(r.errOut)
	}
	waitFor(t, "the agent is leaving", func() bool {
		st, ok := agentStatus(c.agents[agent])
		return ok && st.Leaving
	})
}

// TestBadInput sends invalid requests. Nothing may start, and the answer must not
// contain an outcome: the id stays usable.
func TestBadInput(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 4, declaration: declaration("limits: {max_body_bytes: 20000, max_tasks: 380}")})
	client := c.client(tokenA, 0)
	id := c.id(client)
	many := newJob(t, "swap", 381, 1)
	big := newJob(t, "swap", 1, 1)
	big.Tasks[0].Payload = mustJSON(t, make([]int, 20000))
	cases := []struct {
		name   string
		body   []byte
		status int
	}{
		{"1 no JSON", []byte("{"), http.StatusBadRequest},
		{"2 unknown field", []byte(`{"kind":"swap","tasks":[{"payload":{}}],"x":1}`), http.StatusBadRequest},
		{"3 something after the value", []byte(`{"kind":"swap","tasks":[{"payload":{}}]} {}`), http.StatusBadRequest},
		{"4 unknown kind", []byte(`{"kind":"nap","tasks":[{"payload":{}}]}`), http.StatusBadRequest},
		{"5 no tasks", []byte(`{"kind":"swap","tasks":[]}`), http.StatusBadRequest},
		{"6 too many tasks", mustJSON(t, &api.Job{Kind: "swap", Tasks: withSmallPayloads(many.Tasks)}), http.StatusBadRequest},
		{"7 task without a payload", []byte(`{"kind":"swap","tasks":[{}]}`), http.StatusBadRequest},
		{"8 negative deadline", []byte(`{"kind":"swap","deadline_ms":-1,"tasks":[{"payload":{}}]}`), http.StatusBadRequest},
		{"9 deadline past the kind's", []byte(`{"kind":"swap","deadline_ms":10001,"tasks":[{"payload":{}}]}`), http.StatusBadRequest},
		{"10 body too large", mustJSON(t, big), http.StatusRequestEntityTooLarge},
		{"11 empty", nil, http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r, err := client.Call(c.context(), http.MethodPut, id, tc.body)
			if err != nil {
				t.Fatal(err)
			}
			if r.Status != tc.status || r.Problem == nil || r.Problem.Detail == "" || r.Outcome() != "" {
				t.Errorf("status %d, %+v", r.Status, r.Problem)
			}
		})
	}
	if n := c.totalStarts(); n != 0 {
		t.Errorf("%d tasks started", n)
	}
	// A job of a kind that is not repeatable is refused without an id.
	r, err := client.Call(c.context(), http.MethodPost, "", nil)
	if err != nil || r.Status < http.StatusBadRequest {
		t.Errorf("POST without an id: %v %+v", err, r)
	}
	job := newJob(t, "swap", 1, 10)
	reply, err := client.Submit(c.context(), id, job)
	if err != nil {
		t.Fatal(err)
	}
	checkComplete(t, job, reply)
	other, err := client.Call(c.context(), http.MethodPut, id, mustJSON(t, newJob(t, "swap", 1, 10)))
	if err != nil || other.Status != http.StatusConflict {
		t.Errorf("another job under the same id: %v %+v", err, other)
	}
}

// withSmallPayloads keeps the body below its limit, so that only the number of tasks is
// too large.
func withSmallPayloads(tasks []api.Task) []api.Task {
	for i := range tasks {
		tasks[i].Payload = json.RawMessage("{}")
	}
	return tasks
}

// TestExpiredID uses an id after its block has expired. The job must not run, and the
// outcome is "forgotten": the home no longer knows whether the id was used.
func TestExpiredID(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 4, declaration: declaration("limits: {block_lifetime_ms: 3000, block_mint_ms: 1500}")})
	client := c.client(tokenA, 0)
	id := c.id(client)
	waitFor(t, "the id expires", func() bool {
		r, err := client.Call(c.context(), http.MethodGet, id, nil)
		return err == nil && r.Outcome() == api.Forgotten
	})
	job := newJob(t, "swap", 1, 10)
	for range 2 {
		r, err := client.Call(c.context(), http.MethodPut, id, mustJSON(t, job))
		if err != nil || r.Status != http.StatusGone || r.Outcome() != api.Forgotten {
			t.Errorf("%v %+v", err, r)
		}
	}
	c.checkNever(job)
}
