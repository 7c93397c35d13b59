package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// sentJob is a job that a client has handed in.
type sentJob struct {
	id    string
	entry int
	// sent is when, status what the last try was answered, accepted whether any was answered 200.
	sent     time.Time
	accepted bool
	answered time.Time
	statuses []int
	state    string
}

// traffic sends jobs of one shape at a steady pace.
type traffic struct {
	world *world
	body  []byte
	every time.Duration
	// kept jobs are tried again where the pages say so.
	mu   sync.Mutex
	jobs []*sentJob
	wait sync.WaitGroup
	stop chan struct{}
}

// step is a step of a job as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"memMb,omitempty"`
	EstimateMS    int    `json:"estimateMs,omitempty"`
	AfterRev      []int  `json:"afterRev,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	Requires      string `json:"requires,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
}

// submission is a job as clients send it.
type submission struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"bestEffort,omitempty"`
}

func (s submission) encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// begin starts the traffic.
func (w *world) begin(s submission, every time.Duration) *traffic {
	t := &traffic{world: w, body: s.encode(), every: every, stop: make(chan struct{})}
	t.wait.Add(1)
	go func() {
		defer t.wait.Done()
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-tick.C:
			}
			j := &sentJob{id: newID(), entry: n % len(w.entries), sent: time.Now()}
			t.mu.Lock()
			t.jobs = append(t.jobs, j)
			t.mu.Unlock()
			t.wait.Add(1)
			go func() {
				defer t.wait.Done()
				t.send(j)
			}()
		}
	}()
	return t
}

// tries bounds the tries of a job, retryAfter is the time between two (retransmitMs).
const (
	tries      = 4
	retryAfter = 1300 * time.Millisecond
	deadline   = 1500 * time.Millisecond
)

// send hands a job in, again where there was no answer, 502 or 504.
func (t *traffic) send(j *sentJob) {
	for n := range tries {
		if n > 0 {
			time.Sleep(retryAfter)
		}
		m := t.world.entries[(j.entry+n)%len(t.world.entries)]
		status, answer := t.world.call(m, "POST", j.id, t.body, deadline)
		t.mu.Lock()
		j.statuses = append(j.statuses, status)
		j.answered = time.Now()
		j.accepted = status/100 == 2
		if j.accepted {
			j.state = state(answer)
		}
		t.mu.Unlock()
		if status != 0 && status != 502 && status != 504 {
			return
		}
	}
}

// end ends the traffic and waits for the answers under way.
func (t *traffic) end() {
	close(t.stop)
	t.wait.Wait()
}

// accepted returns the jobs that were accepted, sent in a span of time.
func (t *traffic) accepted(from, until time.Time) []*sentJob {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*sentJob
	for _, j := range t.jobs {
		if j.accepted && !j.sent.Before(from) && j.sent.Before(until) {
			all = append(all, j)
		}
	}
	return all
}

// tell writes to the record what became of the jobs, by the second of their first try.
func (t *traffic) tell(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type count struct{ sent, accepted, refused, other int }
	by := map[int]*count{}
	last := 0
	for _, j := range t.jobs {
		s := int(j.sent.Sub(t.world.started).Seconds()) / 5
		c := by[s]
		if c == nil {
			c = &count{}
			by[s] = c
		}
		last = max(last, s)
		c.sent++
		switch {
		case j.accepted:
			c.accepted++
		case len(j.statuses) > 0 && j.statuses[len(j.statuses)-1] == 503:
			c.refused++
		default:
			c.other++
		}
	}
	for s := range last + 1 {
		if c := by[s]; c != nil {
			t.world.logf("%s sent from %d s to %d s: %d, answered 200: %d, 503: %d, no answer or 504 at last: %d", name, 5*s, 5*s+5, c.sent, c.accepted, c.refused, c.other)
		}
	}
}

// noAnswer is the state of a job that was asked for and got no answer in time.
const noAnswer = "status 0"

// ask asks for the state of each job once, at the entries in turn, and counts the states.
func (w *world) ask(jobs []*sentJob) map[string]int {
	states := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i, j := range jobs {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			status, answer := w.call(w.entries[i%len(w.entries)], "GET", j.id, nil, deadline)
			s := state(answer)
			if status != 200 {
				s = fmt.Sprintf("status %d", status)
			}
			mu.Lock()
			j.state = s
			states[s]++
			mu.Unlock()
		}()
	}
	wait.Wait()
	return states
}
