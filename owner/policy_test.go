package owner

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/gate"
	"rackspur/job"
	"rackspur/observe"
	"rackspur/policy"
)

// enginePolicy adapts a policy.Engine to Policy.
type enginePolicy struct{ *policy.Engine }

func (p enginePolicy) Admit(j dispatch.JobView) dispatch.Verdict { return p.Current().Admit(j) }

func (p enginePolicy) Place(j dispatch.JobView, t []dispatch.TargetView) dispatch.Plan {
	return p.Current().Place(j, t)
}

const lastTarget = `
def place(job, targets):
    return plan(start = [(t.index, 1) for t in targets[-1:]], wait = [])
`

const fewTasks = `
def admit(job):
    if job.tasks > 4:
        return refuse("too wide", 100)
    return accept()
`

func newPolicyHarness(t *testing.T, p config.Policies) *harness {
	t.Helper()
	engine, err := policy.NewFixed(p, observe.NewMetrics(), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	b := newHarness(t)
	b.owner.options.Policy = enginePolicy{engine}
	return b
}

// A program chooses among the gates that can take a task.
func TestPolicyPlaces(t *testing.T) {
	b := newPolicyHarness(t, config.Policies{Place: lastTarget})
	links := map[string]uint64{}
	for _, name := range []string{"gate-1", "gate-2", "gate-3"} {
		links[name] = b.connect(name)
	}
	b.submit(1, 3)
	for name, link := range links {
		want := 0
		if name == "gate-3" {
			want = 3
		}
		if n := len(b.flush(name, link).Starts); n != want {
			t.Errorf("%d starts on %s, want %d", n, name, want)
		}
	}
}

// A program is not offered gates without room, so it can't send tasks there.
func TestPolicySeesUsableGates(t *testing.T) {
	b := newPolicyHarness(t, config.Policies{Place: lastTarget})
	first, last := b.connect("gate-1"), b.connect("gate-2")
	r := testReport()
	r.Free = job.Resources{}
	r.Queued = job.Resources{CPU: r.Capacity.CPU}
	b.owner.OnFrame("gate-2", last, gate.Frame{Clock: b.now, Report: r})
	b.submit(1, 2)
	if n := len(b.flush("gate-1", first).Starts); n != 2 {
		t.Errorf("%d starts on the gate with room, want 2", n)
	}
	if n := len(b.flush("gate-2", last).Starts); n != 0 {
		t.Errorf("%d starts on the gate without room", n)
	}
}

// A program can refuse jobs.
func TestPolicyAdmits(t *testing.T) {
	b := newPolicyHarness(t, config.Policies{Admit: fewTasks})
	link := b.connect("gate-1")
	if r := b.submit(1, 5); r == nil || !r.Refused {
		t.Errorf("answered %+v, want refused", r)
	}
	if r := b.submit(2, 4); r != nil {
		t.Errorf("answered %+v, want accepted", *r)
	}
	if n := len(b.flush("gate-1", link).Starts); n != 4 {
		t.Errorf("%d starts, want the 4 of the accepted job", n)
	}
}

// Every shipped set places all tasks of a job.
func TestShippedSetsPlace(t *testing.T) {
	for _, name := range policy.Names() {
		t.Run(name, func(t *testing.T) {
			b := newPolicyHarness(t, config.Policies{Base: name})
			links := map[string]uint64{"gate-1": b.connect("gate-1"), "gate-2": b.connect("gate-2")}
			if r := b.submit(1, 6); r != nil {
				t.Fatalf("answered %+v", *r)
			}
			starts := 0
			for range 4 {
				b.now += 20 * time.Millisecond
				b.owner.Tick()
				for gateName, link := range links {
					starts += len(b.flush(gateName, link).Starts)
				}
			}
			if starts != 6 {
				t.Errorf("%d starts, want 6", starts)
			}
		})
	}
}
