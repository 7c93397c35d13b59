package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
	"rackspur/member"
	"rackspur/rowstore"
)

// restoreRig runs an agent and a target whose heartbeats the test sends.
type restoreRig struct {
	*cluster
	target *standin.Executor
}

func newRestoreRig(t *testing.T) *restoreRig {
	return &restoreRig{cluster: &cluster{t: t, store: rowstore.NewMemory()}, target: testTarget("i-1", 16000)}
}

func testTarget(life string, cpu int) *standin.Executor {
	return standin.NewExecutor(life, job.Resources{CPU: cpu, Memory: 32768}, func(job.RunName) (time.Duration, gate.EndKind) {
		return time.Millisecond, gate.EndDone
	})
}

// start starts the agent; the returned function stops it, at the latest when the test ends.
func (r *restoreRig) start() (*Agent, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	a, err := NewAgent(ctx, r.options("agent-1"), r.target)
	if err != nil {
		r.t.Fatal(err)
	}
	b := run(a, a.Run)
	end := func() {
		cancel()
		b.kill()
		<-b.done
	}
	r.t.Cleanup(end)
	return a, end
}

func (r *restoreRig) sendHeartbeat(a *Agent) {
	a.Driver().Heartbeat(gate.Heartbeat{Incarnation: gate.Incarnation{ID: r.target.Life, Born: r.target.Born}, Service: testService, Capacity: r.target.Capacity, Labels: []string{"r1"}, Sequence: 1})
}

// open reports whether the agent's gate is open, and the capacity that it reports.
func open(a *Agent, link uint64) (bool, job.Resources) {
	if !a.Driver().Connect("entry-1~a", link, func() {}) {
		return false, job.Resources{}
	}
	f, _ := a.Driver().Flush("entry-1~a", link)
	return f.Report.Open, f.Report.Capacity
}

func (r *restoreRig) untilOpen(a *Agent) {
	link := uint64(0)
	r.until("the gate is open", func() bool {
		link++
		ok, capacity := open(a, link)
		return ok && capacity == r.target.Capacity
	})
}

func (r *restoreRig) untilStored() {
	r.until("the description is stored", func() bool {
		_, ok, err := rowstore.ReadOne(context.Background(), r.store, rowstore.Key{Table: tableTargets, Part: member.AgentPart("agent-1"), Name: "agent-1"})
		return ok && err == nil
	})
}

// A restarted agent opens its gate without a heartbeat if its target has not restarted.
func TestAgentRecallsExecutor(t *testing.T) {
	r := newRestoreRig(t)
	first, end := r.start()
	r.sendHeartbeat(first)
	r.untilOpen(first)
	r.untilStored()
	end()
	second, _ := r.start()
	r.untilOpen(second)
}

// A stored description of an earlier incarnation of the target is replaced by the next
// heartbeat.
func TestAgentForgetsOtherLife(t *testing.T) {
	r := newRestoreRig(t)
	first, end := r.start()
	r.sendHeartbeat(first)
	r.untilStored()
	end()
	r.target = testTarget("i-2", 8000)
	second, _ := r.start()
	r.sendHeartbeat(second)
	r.untilOpen(second)
}

// lateStore is a store that does not answer the first write of a description and carries it out
// only when the test says so, if its conditions still hold.
type lateStore struct {
	rowstore.Store
	held *rowstore.Transaction
	// unanswered is called when the first write is held.
	unanswered func()
}

func (s *lateStore) Transact(ctx context.Context, t rowstore.Transaction) (rowstore.Outcome, error) {
	if s.held != nil {
		return s.Store.Transact(ctx, t)
	}
	s.held = &t
	s.unanswered()
	return rowstore.Outcome{}, rowstore.ErrUncertain
}

// A write of a description that the store carries out late does not replace a newer
// description, whether of the same agent process or of the next. Otherwise a restarted agent
// would take a target for ready that had said that it leaves.
func TestLateWriteOfDescription(t *testing.T) {
	for name, test := range map[string]struct{ stored, restarts bool }{
		"first description":                    {},
		"first description, agent restarts":    {restarts: true},
		"described before":                     {stored: true},
		"described before, and agent restarts": {stored: true, restarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, kill := context.WithCancel(t.Context())
			store := &lateStore{Store: rowstore.NewMemory(), unanswered: func() {}}
			former := newDescriptions(t, store.Store)
			if test.stored {
				former.keep(ctx, gate.Description{Incarnation: gate.Incarnation{ID: "i-0"}})
				former = newDescriptions(t, store.Store)
			}
			former.store = store
			if test.restarts {
				store.unanswered = kill
			}
			incarnation := gate.Incarnation{ID: "i-1"}
			former.keep(ctx, gate.Description{Incarnation: incarnation, Service: testService})
			kill()
			newer := former
			if test.restarts {
				newer = newDescriptions(t, store.Store)
				newer.restore(t.Context())
			}
			leaves := gate.Description{Incarnation: incarnation, Service: testService, Draining: true}
			newer.keep(t.Context(), leaves)
			if _, err := store.Store.Transact(t.Context(), *store.held); err == nil {
				t.Error("the late write was carried out")
			}
			row, _, err := rowstore.ReadOne(t.Context(), store.Store, newer.key())
			var got gate.Description
			if err != nil || json.Unmarshal(row.Value, &got) != nil || !got.Equal(leaves) {
				t.Errorf("stored %+v, %v, want %+v", got, err, leaves)
			}
		})
	}
}

// An agent that describes its target before it has read the stored description does not replace
// what that says and is never taken back.
func TestDescriptionBeforeRestore(t *testing.T) {
	store := rowstore.NewMemory()
	leaves := gate.Description{Incarnation: gate.Incarnation{ID: "i-1"}, Service: testService, Draining: true}
	newDescriptions(t, store).keep(t.Context(), leaves)
	newer := newDescriptions(t, store)
	newer.driver.Heartbeat(gate.Heartbeat{Incarnation: leaves.Incarnation, Service: testService, Sequence: 1})
	newer.keep(t.Context(), <-newer.driver.Described())
	select {
	case d := <-newer.driver.Described():
		newer.keep(t.Context(), d)
	default:
		t.Error("the stored description changes nothing")
	}
	row, _, err := rowstore.ReadOne(t.Context(), store, newer.key())
	var got gate.Description
	if err != nil || json.Unmarshal(row.Value, &got) != nil || !got.Equal(leaves) {
		t.Errorf("stored %+v, %v, want %+v", got, err, leaves)
	}
}

// newDescriptions returns the descriptions of an agent process that has just started.
func newDescriptions(t *testing.T, s rowstore.Store) *descriptions {
	g := gate.New(gate.Options{Node: "agent-1", Lease: time.Second})
	return &descriptions{store: s, node: "agent-1", driver: gate.NewDriver(t.Context(), g, testTarget("i-1", 16000), logr.Discard()), log: logr.Discard()}
}
