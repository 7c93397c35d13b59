package policy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/go-logr/logr"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/observe"
	"rackspur/wire"
)

func TestShippedSetsAreGood(t *testing.T) {
	for _, name := range Names() {
		if err := Check(config.Policies{Base: name}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestCheckRefuses(t *testing.T) {
	cases := []struct {
		name, place string
		want        error
	}{
		{"1 syntax", "def place(job, targets) return 1", ErrProgram},
		{"2 wrong name", "def plase(job, targets):\n  return plan()", ErrProgram},
		{"3 wrong arguments", "def place(job):\n  return plan()", ErrProgram},
		{"4 no decision", "def place(job, targets):\n  return [0]", ErrDecision},
		{"5 another hook's decision", "def place(job, targets):\n  return accept()", ErrDecision},
		{"6 no such target", "def place(job, targets):\n  return plan(start=[(9, 1)])", ErrDecision},
		{"7 too many tasks", "def place(job, targets):\n  return plan(start=[(0, job.tasks + 1)])", ErrDecision},
		{"8 endless", "def place(job, targets):\n  for a in range(100000):\n    for b in range(100000):\n      pass\n  return plan()", ErrDecision},
		{"9 unknown field", "def place(job, targets):\n  return plan(wait=[job.secret])", ErrDecision},
		{"10 loading", "load('os', 'exit')\ndef place(job, targets):\n  return plan()", ErrProgram},
		{"11 negative number", "def place(job, targets):\n  return plan(start=[(0, -1)]) if targets else plan()", ErrDecision},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if err := Check(config.Policies{Place: tc.place}); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

func engineWith(t *testing.T, p config.Policies) (*Engine, *observe.Metrics) {
	t.Helper()
	h := config.NewHolder()
	m := observe.NewMetrics()
	e := NewEngine(h, m, logr.Discard())
	d := config.Document{
		Members:  []config.Member{{Name: "m", Secrets: []string{config.HashSecret("s")}, Weight: 1}},
		Kinds:    []config.Kind{{Name: "k", ExpectMS: 1, LeaseMS: 1, DeadlineMS: 1}},
		Policies: p,
	}
	if err := h.Offer(&wire.Config{Version: 1, Document: d.Encode()}); err != nil {
		t.Fatal(err)
	}
	return e, m
}

func TestFailingProgramIsReplaced(t *testing.T) {
	e, m := engineWith(t, config.Policies{Admit: "def admit(job):\n  return accept() if job.tasks < 5 else 1 // 0"})
	s := Samples()[0]
	s.Job.Tasks = 7
	got := e.Current().Admit(s.Job)
	if want := (dispatch.Native{}).Admit(s.Job); got != want {
		t.Errorf("got %+v, want the default's %+v", got, want)
	}
	if m.Value("policy.admit.failed") != 1 {
		t.Error("the failure is not counted")
	}
	d := e.Recent("sample")
	if len(d) != 1 || d[0].Failed == "" || d[0].Version != 1 {
		t.Errorf("watched: %+v", d)
	}
}

func TestShadowIsCounted(t *testing.T) {
	e, m := engineWith(t, config.Policies{Shadow: "credit"})
	s := Samples()[0]
	plan := e.Current().Place(s.Job, s.Targets)
	if len(plan.Start) == 0 {
		t.Error("the shadow decided")
	}
	if m.Value("policy.place.shadow_differs") != 1 {
		t.Error("the difference is not counted")
	}
}

// TestNativeTwin checks that the built-in default and the shipped program decide alike.
func TestNativeTwin(t *testing.T) {
	program, err := loadShipped(Default)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		job, targets := randomInput(rng)
		placed, _, err := program.place(job, targets)
		if err != nil {
			t.Fatal(err)
		}
		if want := (dispatch.Native{}).Place(job, targets); !reflect.DeepEqual(placed, want) {
			t.Fatalf("place: program %+v, native %+v, for %+v %+v", placed, want, job, targets)
		}
		verdict, _, err := program.admit(job)
		if err != nil {
			t.Fatal(err)
		}
		if want := (dispatch.Native{}).Admit(job); verdict != want {
			t.Fatalf("admit: program %+v, native %+v, for %+v", verdict, want, job)
		}
	}
}

func randomInput(rng *rand.Rand) (dispatch.JobView, []dispatch.TargetView) {
	job := dispatch.JobView{Tasks: 1 + rng.IntN(40), DeadlineMS: 1000, LongestMS: 100, MaxWaitMS: 2000,
		ExpectedWaitMS: float64(rng.IntN(3000)), Slots: rng.IntN(3), HomeWaiting: rng.IntN(9), Domain: "a"}
	var targets []dispatch.TargetView
	for i := range rng.IntN(12) {
		targets = append(targets, dispatch.TargetView{Name: fmt.Sprint(i), Domain: []string{"a", "b"}[rng.IntN(2)], Self: i == 0,
			Slots: 8, Free: rng.IntN(9), Waiting: rng.IntN(5), Pace: 0.5 + rng.Float64()*4, Tie: rng.Float64()})
	}
	return job, targets
}

func FuzzCompile(f *testing.F) {
	for _, name := range Names() {
		source, err := Source(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(source)
	}
	f.Add("def place(job, targets):\n  return plan(start=[(0, 1 << 40)])")
	f.Fuzz(func(t *testing.T, source string) {
		p, err := Compile("fuzz", source)
		if err != nil {
			return
		}
		for h := range hooks {
			if p.Has(h) {
				_ = p.try(h)
			}
		}
	})
}
