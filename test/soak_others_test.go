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

// Entries that other writers leave while the soak runs.
const (
	// othersPause is the time between two of them.
	othersPause = 40 * time.Millisecond
	// othersRows is how many rows of a table they write in turn.
	othersRows = 20
)

// othersTables are the tables that daemons of ours read, each with a part.
var othersTables = []rowstore.Key{
	{Table: "members", Part: "members"}, {Table: "lives", Part: "members"}, {Table: "executors", Part: "members"},
	{Table: owner.TableJobs, Part: owner.PartName(0)}, {Table: "op"}, {Table: "servers"},
}

// othersValues are values that can't be read, or say what nobody knows.
var othersValues = []string{
	"", "\xff\x00\xfe", "null", "[]", `"text"`, `{"node":5}`, `{"node":"x","role":"judge","address":"10.0.0.1:1","incarnation":"y"}`,
	`{"node":"entry-0","role":"agent","address":"nowhere","incarnation":"z"}`, `{"ID":"7","Steps":[{"Count":-1}],"owner":"w"}`,
	`{"life":7,"capacity":{"CPU":"many"}}`, strings.Repeat("[", 20_000), `{"version":99999999,"routes":"none"}`,
}

// othersBeats are heartbeats that can't be read, or say what nobody knows.
var othersBeats = []string{
	"", "\x00", "null", "[]", `{"state":"draining"}`, `{"service":"engine","state":"resting","capacity":{"cpu":16000},"seq":9000000}`,
	`{"service":"engine","state":"ready","capacity":{"cpu":-5},"seq":9000001}`, `{"service":"engine","state":"ready","capacity":"large","seq":9000002}`,
	`{"service":"nobodys","state":"draining","capacity":{"cpu":1},"seq":9000003,"clockMs":4503599627370496}`,
	`{"service":"engine","state":"ready","capacity":{"cpu":16000},"labels":{"a":1},"seq":"9000004"}`,
}

// others writes entries and sends heartbeats as other writers do until a time.
func (r *soakRun) others(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		pause(othersPause)
		key := othersTables[n%len(othersTables)]
		key.Name = fmt.Sprintf("other-%d", n%othersRows)
		put := rowstore.Put{Key: key, Value: []byte(othersValues[n%len(othersValues)])}
		// A store that is in trouble takes none.
		_, _ = r.store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{put}})
		m := r.agents[n%len(r.agents)]
		r.sendBeat(m, othersBeats[n%len(othersBeats)])
	}
}

// sendBeat sends a body as a heartbeat of the newest life of a machine's target; it must
// not be acknowledged.
func (r *soakRun) sendBeat(m *machine, body string) {
	url := "http://" + m.ip + ":" + platformControlPort + "/v1/executors/" + m.port.Executor().Life + "/heartbeat"
	res, err := quick.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return // The agent is down.
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode == http.StatusOK {
		r.t.Errorf("heartbeat %.60q is acknowledged by %s", body, m.name)
	}
}
