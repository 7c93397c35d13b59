package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// deadline is how long clients wait for an answer.
const deadline = 1500 * time.Millisecond

// client asks entries as the users' clients do. Each call has a connection of its own.
var client = &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends a request to an entry and returns the status and the state in the answer; status 0
// means that there was no answer.
func (m *machine) ask(method, path string, body []byte) (status int, state string) {
	req, err := http.NewRequest(method, "http://"+address(m.ip, frontPort)+prefix+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Rackspur-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	log := m.world.log
	log.add("sent", "%s %s to %s %s", method, path, m.node, body)
	res, err := client.Do(req)
	if err != nil {
		log.add("answer", "%s %s by %s: none", method, path, m.node)
		return 0, ""
	}
	defer res.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(res.Body).Decode(&answer)
	log.add("answer", "%s %s by %s: %d %s", method, path, m.node, res.StatusCode, answer.State)
	return res.StatusCode, answer.State
}

// submit hands a job in to an entry until it is accepted.
func (m *machine) submit(id string, body []byte) error {
	for range 4 {
		if status, _ := m.ask(http.MethodPost, id, body); status/100 == 2 {
			return nil
		}
		time.Sleep(retransmit)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// jobOf returns the body of a job with one step; requires may be empty.
func jobOf(tasks int, estimate time.Duration, requires string) []byte {
	return jobWith(stepOf(tasks, estimate, requires))
}

func stepOf(tasks int, estimate time.Duration, requires string) map[string]any {
	step := map[string]any{"count": tasks, "cpu": need.CPU, "memMb": need.Memory, "estimateMs": estimate.Milliseconds()}
	if requires != "" {
		step["requires"] = requires
	}
	return step
}

// spreadJob returns the body of a job with a task on each of a number of executors.
func spreadJob(executors int, estimate time.Duration) []byte {
	return jobWith(map[string]any{"count": executors, "cpu": need.CPU, "memMb": need.Memory, "estimateMs": estimate.Milliseconds(), "antiAffinity": 1})
}

func jobWith(steps ...map[string]any) []byte {
	b, err := json.Marshal(map[string]any{"spec": "(text)", "steps": steps})
	if err != nil {
		panic(err)
	}
	return b
}
