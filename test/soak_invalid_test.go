package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"rackspur/owner"
	"rackspur/rowstore"
)

// Invalid rows that other programs write into the store during the soak.
const (
	// invalidInterval is the time between two writes.
	invalidInterval = 40 * time.Millisecond
	// invalidRows is the number of different row names.
	invalidRows = 20
)

// invalidTables are the tables that entries and agents read, each with a part.
var invalidTables = []rowstore.Key{
	{Table: "members", Part: "members"}, {Table: "lives", Part: "members"}, {Table: "executors", Part: "members"},
	{Table: owner.TableJobs, Part: owner.PartName(0)}, {Table: "op"}, {Table: "servers"},
}

// invalidValues are row values that are malformed or refer to something unknown.
var invalidValues = []string{
	"", "\xff\x00\xfe", "null", "[]", `"text"`, `{"node":5}`, `{"node":"x","role":"judge","address":"10.0.0.1:1","incarnation":"y"}`,
	`{"node":"entry-0","role":"agent","address":"nowhere","incarnation":"z"}`, `{"ID":"7","Steps":[{"Count":-1}],"owner":"w"}`,
	`{"life":7,"capacity":{"CPU":"many"}}`, strings.Repeat("[", 20_000), `{"version":99999999,"routes":"none"}`,
}

// invalidHeartbeats are heartbeats that are malformed or refer to something unknown.
var invalidHeartbeats = []string{
	"", "\x00", "null", "[]", `{"state":"draining"}`, `{"service":"engine","state":"resting","capacity":{"cpu":16000},"seq":9000000}`,
	`{"service":"engine","state":"ready","capacity":{"cpu":-5},"seq":9000001}`, `{"service":"engine","state":"ready","capacity":"large","seq":9000002}`,
	`{"service":"nobodys","state":"draining","capacity":{"cpu":1},"seq":9000003,"clockMs":4503599627370496}`,
	`{"service":"engine","state":"ready","capacity":{"cpu":16000},"labels":{"a":1},"seq":"9000004"}`,
}

// writeInvalid writes invalid rows and sends invalid heartbeats until a time.
func (r *soakRun) writeInvalid(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		pause(invalidInterval)
		key := invalidTables[n%len(invalidTables)]
		key.Name = fmt.Sprintf("other-%d", n%invalidRows)
		put := rowstore.Put{Key: key, Value: []byte(invalidValues[n%len(invalidValues)])}
		// The write may fail during a store fault.
		_, _ = r.store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{put}})
		m := r.agents[n%len(r.agents)]
		r.sendInvalidHeartbeat(m, invalidHeartbeats[n%len(invalidHeartbeats)])
	}
}

// sendInvalidHeartbeat sends a body as a heartbeat of the newest life of a box's target,
// and checks that it is not acknowledged.
func (r *soakRun) sendInvalidHeartbeat(m *box, body string) {
	url := "http://" + m.ip + ":" + platformControlPort + "/v1/executors/" + m.life().Incarnation().ID + "/heartbeat"
	res, err := quickClient.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return // The agent is down.
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode == http.StatusOK {
		r.t.Errorf("invalid heartbeat %.60q is acknowledged by %s", body, m.name)
	}
}
