package main

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["roll"] = caseRoll }

// Figures of planned stops.
const (
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	rollGap   = 1300 * time.Millisecond
	roundTime = 10 * time.Second
)

// balancer gives connections to entries as the platform does: an entry is out after two misses of its
// readiness probe; while fewer than half are in, all are used.
type balancer struct {
	d      *deployment
	mu     sync.Mutex
	misses map[*box]int
}

func (b *balancer) run() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for b.d.ctx.Err() == nil {
		for _, e := range b.d.entries {
			go func() {
				res, err := client.Get("http://" + e.ip + ":" + portReady + "/v1/ready")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				b.misses[e]++
				if ok {
					b.misses[e] = 0
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

func (b *balancer) choose() *box {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*box
	for _, e := range b.d.entries {
		if b.misses[e] < 2 {
			in = append(in, e)
		}
	}
	if 2*len(in) < len(b.d.entries) {
		in = b.d.entries
	}
	return in[rand.IntN(len(in))]
}

// cutRequest is a request whose connection has closed without a complete answer.
type cutRequest struct {
	id string
	to *box
	answer
	afterTerm time.Duration
}

// caseRoll: all entries are stopped and started in turn while clients submit kept jobs.
func caseRoll(r *record, trouble bool) (bool, error) {
	const clients, pause, task, count, cpu, rounds = 90, 300 * time.Millisecond, 3600 * time.Millisecond, 4, 30, 9
	d, err := newDeployment(r, options{entries: 3, agents: 6, capacity: 32000, priority: 1, workOf: func(_, _ string) work {
		return work{lasts: task/4 + time.Duration(rand.Int64N(int64(3*task/4))), end: "done", cpu: cpu}
	}})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return false, err
	}
	platform := &balancer{d: d, misses: map[*box]int{}}
	go platform.run()
	time.Sleep(2 * time.Second)
	body, err := json.Marshal(map[string]any{"spec": "task", "steps": []step{{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": task.Milliseconds()}}})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var cuts []cutRequest
	var accepted, refused, unknown int
	stopped := map[*box][]time.Time{}
	// The clients go on until the last round, or a round in which the rule was broken, is over.
	var over atomic.Bool
	end := time.Now().Add(rounds * roundTime)
	going := func() bool { return time.Now().Before(end) && !over.Load() }
	var wait sync.WaitGroup
	for range clients {
		wait.Go(func() {
			for going() {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * pause))))
				id := newID()
				for going() {
					to := platform.choose()
					a := d.request(to, http.MethodPost, id, body, 3*time.Second)
					mu.Lock()
					switch {
					case a.status == 0:
						cuts = append(cuts, cutRequest{id: id, to: to, answer: a})
					case a.status/100 == 2:
						accepted++
					case a.status == http.StatusServiceUnavailable:
						refused++
					default:
						unknown++
					}
					mu.Unlock()
					if a.status/100 == 2 || a.status == http.StatusServiceUnavailable {
						break
					}
					time.Sleep(1300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for round := 0; trouble && round < rounds && !over.Load(); round++ {
		began := time.Now()
		for _, e := range d.entries {
			mu.Lock()
			stopped[e] = append(stopped[e], time.Now())
			mu.Unlock()
			e.signal(syscall.SIGTERM)
			r.say("plan   %s gets SIGTERM", e.name)
			done := e.done
			go func() {
				select {
				case <-done:
				case <-time.After(grace):
					e.signal(syscall.SIGKILL)
					<-done
				}
				r.say("plan   %s has ended", e.name)
				time.Sleep(500 * time.Millisecond)
				_ = d.start(e)
			}()
			time.Sleep(rollGap)
		}
		time.Sleep(roundTime - time.Since(began))
		mu.Lock()
		over.Store(len(brokenOff(cuts, stopped)) > 0)
		mu.Unlock()
	}
	wait.Wait()
	broken := brokenOff(cuts, stopped)
	for _, c := range broken {
		r.say("client request %s was sent to %s %.3f s after its SIGTERM; its connection was closed without an answer %.3f s later: %v",
			c.id, c.to.name, c.afterTerm.Seconds(), c.got.Sub(c.sent).Seconds(), c.err)
	}
	r.say("client %d submissions accepted, %d refused, %d answered otherwise, %d without an answer, %d of these after %s and more around a planned stop",
		accepted, refused, unknown, len(cuts), len(broken), lossSlack)
	return len(broken) == 0, nil
}

// brokenOff returns the requests that were broken off around a planned stop of their entry. One that
// was not sent fails at once, one that was not read is reset, and at 3 s the client's deadline is
// reached.
func brokenOff(cuts []cutRequest, stopped map[*box][]time.Time) []cutRequest {
	var broken []cutRequest
	for _, c := range cuts {
		held := c.got.Sub(c.sent)
		for _, term := range stopped[c.to] {
			c.afterTerm = c.sent.Sub(term)
			if c.afterTerm > 0 && c.afterTerm < grace+time.Second && held > lossSlack && held < 2900*time.Millisecond && errors.Is(c.err, io.EOF) {
				broken = append(broken, c)
				break
			}
		}
	}
	return broken
}
