package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// step is a step of a job as clients submit it.
type step map[string]any

// newID returns an id as a client chooses it: 16 hex digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client got; status is 0 if the request got no complete answer.
type answer struct {
	status int
	body   string
	err    error
	sent   time.Time
	got    time.Time
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d %s", a.status, bytes.TrimSpace([]byte(a.body)))
}

// state returns the state in an answer, if there is one.
func (a answer) state() string {
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(a.body), &s)
	return s.State
}

// request sends one request over a connection of its own and records it with its answer.
func (d *deployment) request(b *box, method, rest string, body []byte, within time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+b.front()+prefix+rest, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Rackspur-Deadline-Ms", fmt.Sprint(within.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	a := answer{sent: time.Now()}
	d.record.add("client %s %s%s to %s", method, prefix, rest, b.name)
	res, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.status, a.body = res.StatusCode, string(text)
	}
	if err != nil {
		a.status, a.err = 0, err
	}
	a.got = time.Now()
	d.record.add("client %s %s%s answered: %s", method, prefix, rest, a)
	return a
}

// submit submits a job once.
func (d *deployment) submit(b *box, id, spec string, steps ...step) answer {
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		return answer{err: err}
	}
	return d.request(b, http.MethodPost, id, body, 3*time.Second)
}

// submitUntilTaken submits a job until it is accepted, as a client does after a refusal or no answer.
func (d *deployment) submitUntilTaken(b *box, id, spec string, within time.Duration, steps ...step) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if a := d.submit(b, id, spec, steps...); a.status/100 == 2 {
			return true
		}
	}
	return false
}

// state asks for the state of a job.
func (d *deployment) state(b *box, id string) answer {
	return d.request(b, http.MethodGet, id, nil, 2*time.Second)
}
