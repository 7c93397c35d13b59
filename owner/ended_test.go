package owner

import (
	"slices"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
)

// replacedCase is a durable job of one or two tasks of which the first one was started on gate-1,
// given up when that gate fell silent, and started again on gate-2.
type replacedCase struct {
	*harness
	store  *rowstore.Memory
	job    job.Submission
	first  job.RunName
	second job.RunName
	links  map[string]uint64
}

func newReplacedCase(t *testing.T) *replacedCase {
	t.Helper()
	r := &replacedCase{harness: newHarness(t), store: rowstore.NewMemory(), links: map[string]uint64{}}
	r.job = testSubmission("00000000000000cc", 1)
	r.job.BestEffort = false
	r.job.Queue.Attempts = 2
	r.links["gate-1"] = r.connect("gate-1")
	r.owner.Submit(r.job, func(SubmitResult) {})
	r.write()
	r.first = r.start("gate-1")
	r.links["gate-2"] = r.connect("gate-2")
	r.owner.LinkDown("gate-1", r.links["gate-1"])
	r.now += r.owner.overAfter() + time.Millisecond
	r.report("gate-2")
	r.owner.Tick()
	r.write()
	r.second = r.start("gate-2")
	return r
}

// write carries out the writes of the owner.
func (r *replacedCase) write() {
	r.t.Helper()
	for _, w := range r.writer.take() {
		w.Done(r.store.Transact(r.t.Context(), w.Transaction))
	}
}

// start returns the only run that the owner starts at a gate now.
func (r *replacedCase) start(gate string) job.RunName {
	r.t.Helper()
	r.owner.Tick()
	f := r.flush(gate, r.links[gate])
	if len(f.Starts) != 1 {
		r.t.Fatalf("%d starts at %s, want 1", len(f.Starts), gate)
	}
	return f.Starts[0].Name
}

// report has a gate report states of runs.
func (r *replacedCase) report(name string, states ...gate.RunState) {
	r.owner.OnFrame(name, r.links[name], gate.Frame{Clock: r.now, Received: 100, Report: testReport(), States: states})
}

// reconnect links a gate again, which has the given runs.
func (r *replacedCase) reconnect(name string, states ...gate.RunState) {
	r.link++
	r.links[name] = r.link
	r.owner.LinkUp(name, r.link, nil)
	r.owner.OnFrame(name, r.link, gate.Frame{Clock: r.now, Report: testReport(), Inventory: true, States: states})
}

// verdict returns the verdict on an end that gate-1 reports over a new link; 0 if there is none.
func (r *replacedCase) verdict(run job.RunName, end gate.EndKind) gate.VerdictKind {
	r.t.Helper()
	r.links["gate-1"] = r.connect("gate-1")
	r.report("gate-1", gate.RunState{Name: run, End: end})
	return r.given("gate-1", run)
}

// given returns the newest verdict on a run that the owner sends to a gate now.
func (r *replacedCase) given(name string, run job.RunName) (kind gate.VerdictKind) {
	r.t.Helper()
	for _, v := range r.flush(name, r.links[name]).Verdicts {
		if v.Name == run {
			kind = v.Kind
		}
	}
	return kind
}

// final returns the final record of the job.
func (r *replacedCase) final() *job.Final {
	r.t.Helper()
	row, ok, err := rowstore.ReadOne(r.t.Context(), r.store, RowKey(TableFinished, r.job.ID, 1))
	if err != nil || !ok {
		r.t.Fatalf("no final record: %v", err)
	}
	f, err := job.DecodeFinal(row.Value)
	if err != nil {
		r.t.Fatal(err)
	}
	return f
}

// An end of a run that was replaced must not be acknowledged once its job has ended, in whatever
// state: both runs of the task would count.
func TestReplacedRunOfEndedJobIsDiscarded(t *testing.T) {
	endings := map[string]func(r *replacedCase){
		"completed": func(r *replacedCase) { r.report("gate-2", gate.RunState{Name: r.second, End: gate.EndDone}) },
		"cancelled": func(r *replacedCase) { r.owner.Cancel(r.job.ID, func(bool) {}) },
		"failed": func(r *replacedCase) {
			r.report("gate-2", gate.RunState{Name: r.second, End: gate.EndFailed})
			r.owner.Tick()
			third := r.start("gate-2")
			r.report("gate-2", gate.RunState{Name: third, End: gate.EndFailed})
		},
	}
	answers := map[string]func(r *replacedCase, run job.RunName, end gate.EndKind) gate.VerdictKind{
		"by its owner": (*replacedCase).verdict,
		"by the final record": func(r *replacedCase, run job.RunName, end gate.EndKind) gate.VerdictKind {
			r.now += rememberEnded + time.Second
			r.owner.Tick()
			r.verdict(run, end)
			r.owner.AnswerUnknown(r.job.ID, true, r.final())
			return r.given("gate-1", run)
		},
	}
	for state, end := range endings {
		for by, answer := range answers {
			for _, kind := range []gate.EndKind{gate.EndDone, gate.EndFailed} {
				t.Run(state+"/"+by+"/"+map[gate.EndKind]string{gate.EndDone: "done", gate.EndFailed: "failed"}[kind], func(t *testing.T) {
					r := newReplacedCase(t)
					end(r)
					r.write()
					if got, ok := r.owner.State(r.job.ID); !ok || got != job.State(state) {
						t.Fatalf("state %q, %v", got, ok)
					}
					if got := answer(r, r.first, kind); got != gate.VerdictDiscard {
						t.Errorf("verdict %v, want %v", got, gate.VerdictDiscard)
					}
				})
			}
		}
	}
}

// Ends that count are acknowledged once their job has ended, since a discarded one costs the
// target its lease: the end of a task's newest run, and failures that were counted.
func TestCountedEndsOfEndedJobAreAcknowledged(t *testing.T) {
	tests := map[string]struct {
		end   func(r *replacedCase)
		kinds []gate.EndKind
	}{
		"cancelled at work":    {kinds: []gate.EndKind{gate.EndDone, gate.EndFailed, gate.EndStopped}, end: func(*replacedCase) {}},
		"cancelled after it":   {kinds: []gate.EndKind{gate.EndFailed}, end: func(r *replacedCase) { r.report("gate-2", gate.RunState{Name: r.second, End: gate.EndFailed}) }},
		"its end was replaced": {kinds: []gate.EndKind{gate.EndStopped}, end: func(r *replacedCase) { r.report("gate-2", gate.RunState{Name: r.second, End: gate.EndStopped}) }},
		"its failure is written": {kinds: []gate.EndKind{gate.EndFailed}, end: func(r *replacedCase) {
			r.report("gate-2", gate.RunState{Name: r.second, End: gate.EndFailed})
			r.owner.Tick()
		}},
	}
	for name, test := range tests {
		for _, forgotten := range []bool{false, true} {
			for _, kind := range test.kinds {
				r := newReplacedCase(t)
				test.end(r)
				r.owner.Cancel(r.job.ID, func(bool) {})
				r.write()
				r.write()
				if forgotten {
					r.now += rememberEnded + time.Second
					r.owner.Tick()
				}
				r.flush("gate-2", r.links["gate-2"])
				r.report("gate-2", gate.RunState{Name: r.second, End: kind})
				if forgotten {
					r.flush("gate-2", r.links["gate-2"])
					r.owner.AnswerUnknown(r.job.ID, true, r.final())
				}
				if got := r.given("gate-2", r.second); got != gate.VerdictAcknowledge {
					t.Errorf("%s, forgotten %v, end %v: verdict %v, want %v", name, forgotten, kind, got, gate.VerdictAcknowledge)
				}
			}
		}
	}
}

// A run of a former owner that no gate has reported may end after its task was started again; that
// end must not be acknowledged either.
func TestUnreportedRunOfCancelledJobIsDiscarded(t *testing.T) {
	b := newHarness(t)
	link := b.adoptJob(durableRecord(1), nil)
	store := rowstore.NewMemory()
	write := func() {
		for _, w := range b.writer.take() {
			w.Conditions = nil
			w.Done(store.Transact(t.Context(), w.Transaction))
		}
	}
	b.owner.Tick()
	write()
	b.owner.Tick()
	if f := b.flush("gate-1", link); len(f.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(f.Starts))
	}
	b.owner.Cancel("00000000000000cc", func(bool) {})
	write()
	second := b.connect("gate-2")
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Report: testReport(), States: []gate.RunState{{Name: runOf(0, 1), End: gate.EndDone}}})
	if f := b.flush("gate-2", second); !slices.Contains(f.Verdicts, gate.Verdict{Name: runOf(0, 1), Kind: gate.VerdictDiscard}) {
		t.Errorf("verdicts %+v, want run 1 discarded", f.Verdicts)
	}
}
