package test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rackspur/api"
	"rackspur/caller"
)

// TestOwnAnswers runs many callers of two members concurrently, while answers are held
// back and released late. Each caller must get the complete answer to its own job.
func TestOwnAnswers(t *testing.T) {
	c := newCluster(t, shape{entries: 2, agents: 3, slots: 8, proxies: true})
	const callers = 24
	var wg sync.WaitGroup
	wrong := make(chan string, 4*callers)
	jobs := make([]*api.Job, 0, 3*callers)
	for i := range callers {
		token := []string{tokenA, tokenB}[i%2]
		client := c.client(token, i)
		mine := []*api.Job{newJob(t, "clash", 1+i%5, 50), newJob(t, "clash", 1, 80), newJob(t, "clash", 3, 50)}
		jobs = append(jobs, mine...)
		id := c.id(client)
		wg.Add(1)
		go func() {
			defer wg.Done()
			submitAll(c, client, id, mine, wrong)
		}()
	}
	// Hold back the answers of the entry boxes in turn, and delay the agents' answers.
	for i := range 6 {
		c.entries[i%2].proxy.set(faults{Hold: true})
		c.awaitStarts(jobs[3*i], 1)
		c.entries[i%2].proxy.release()
		c.agents[i%3].proxy.set(faults{Delay: 20 * time.Millisecond})
	}
	wg.Wait()
	close(wrong)
	for w := range wrong {
		t.Error(w)
	}
	for _, job := range jobs {
		c.checkOnce(job)
	}
}

// submitAll submits jobs one after another, the first under the given id, each other
// under the next id in the previous answer.
func submitAll(c *cluster, client *caller.Client, id string, jobs []*api.Job, wrong chan<- string) {
	for _, job := range jobs {
		reply, err := client.Submit(c.context(), id, job)
		if err != nil {
			wrong <- err.Error()
			return
		}
		if reply.Answer == nil {
			wrong <- fmt.Sprintf("%+v", reply.Problem)
			return
		}
		if w := answerProblem(job, reply.Answer); w != "" {
			wrong <- w
		}
		if reply.Answer.ID != id {
			wrong <- "the answer names another id"
		}
		id = reply.Answer.NextID
	}
}

// TestOwnMembersApart requests another member's submission with every method. The answer
// must be that for an id that does not exist, and must not name the other member.
func TestOwnMembersApart(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 2, slots: 4})
	a, b := c.client(tokenA, 0), c.client(tokenB, 0)
	id := c.id(a)
	job := newJob(t, "swap", 2, 50)
	if _, err := a.Submit(c.context(), id, job); err != nil {
		t.Fatal(err)
	}
	forged := []byte(id)
	forged[len(forged)-2] ^= 1
	for _, text := range []string{id, string(forged), "nonsense", strings.Repeat("A", 400)} {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
			r, err := b.Call(c.context(), method, text, mustJSON(t, job))
			if err != nil {
				t.Fatal(err)
			}
			if r.Status != http.StatusNotFound || r.Problem.Reason != "no-such-id" || r.Outcome() != "" {
				t.Errorf("%s %.20s…: status %d, %+v", method, text, r.Status, r.Problem)
			}
			if strings.Contains(fmt.Sprintf("%+v", r.Problem), "ghanta") {
				t.Errorf("%s names the other member: %+v", method, r.Problem)
			}
		}
	}
	for i, n := range c.startsOf(job) {
		if n != 1 {
			t.Errorf("task %d started %d times", i, n)
		}
	}
	// Logs, status and metrics must not contain payloads or secrets.
	secrets := [][]byte{[]byte("secret-a"), []byte("secret-b"), []byte(t.Name())}
	for _, p := range append(c.entries, c.agents...) {
		seen := []byte(p.log.String())
		for _, path := range []string{"/status", "/metrics"} {
			seen = append(seen, body(t, p.ops+path)...)
		}
		for _, s := range secrets {
			if bytes.Contains(seen, s) {
				t.Errorf("logs, status or metrics of %s contain %q", p.name, s)
			}
		}
	}
}
