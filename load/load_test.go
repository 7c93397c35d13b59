package load

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"rackspur/api"
)

func TestShippedScenarios(t *testing.T) {
	for _, name := range []string{"ghanta", "acquirer"} {
		s, err := Read(name)
		if err != nil {
			t.Fatal(err)
		}
		list := s.arrivals()
		if !reflect.DeepEqual(list, s.arrivals()) {
			t.Errorf("%s: the same seed generates a different load", name)
		}
		s.Bursts = nil
		work := time.Duration(0)
		for _, a := range s.arrivals() {
			work += a.work
		}
		offered := work.Seconds() / s.Duration.Seconds() / float64(s.Slots)
		if offered < 0.9*s.Load || offered > 1.1*s.Load {
			t.Errorf("%s: offers %.2f, want about %.2f", name, offered, s.Load)
		}
	}
}

func TestParseRefuses(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"1 unknown field", "speed: 1", "field speed not found"},
		{"2 nothing", "{}", "duration must be"},
		{"3 no kinds", "{duration: 1s, slots: 1, load: 1}", "kinds: at least one"},
		{"4 sizes", "{duration: 1s, slots: 1, load: 1, kinds: [{name: k, share: 1, tasks: [5, 1], ms: [1, 1]}]}", "tasks[0] <= tasks[1]"},
		{"5 too fast", "{duration: 1s, slots: 1000, load: 10, kinds: [{name: k, share: 1, tasks: [1, 1], ms: [1, 1]}]}", "more than the bound"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.text))
			if !errors.Is(err, ErrScenario) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// Two tasks of 100 ms that arrive together must run one after the other on one slot.
func TestReference(t *testing.T) {
	s := &Scenario{Slots: 1, RTT: 10 * time.Millisecond}
	run := 100 * time.Millisecond
	one := arrival{kind: &Kind{Name: "k"}, job: &api.Job{}, runs: []time.Duration{run}, longest: run, work: run}
	got := s.reference([]arrival{one, one})
	if got[0].response != 110*time.Millisecond || got[1].response != 210*time.Millisecond {
		t.Errorf("%v and %v", got[0].response, got[1].response)
	}
}

func TestReport(t *testing.T) {
	s := &Scenario{Name: "s", Slots: 1, Load: 1, Duration: time.Second}
	r := &runner{scenario: s, samples: []sample{
		{kind: "k", response: 200 * time.Millisecond, ideal: 100 * time.Millisecond, work: 100 * time.Millisecond, tasks: 1, outcome: string(api.Complete)},
		{kind: "k", response: 5 * time.Millisecond, ideal: 100 * time.Millisecond, outcome: string(api.NotRun), reason: "overloaded"},
		{kind: "k", response: time.Second, ideal: 100 * time.Millisecond, outcome: string(api.Complete), wrong: true},
	}}
	rep := r.report(nil, time.Second)
	all := rep.Kinds[0]
	if all.Sent != 3 || all.Outcomes["not-run/overloaded"] != 1 || rep.Wrong != 1 {
		t.Errorf("%+v, wrong %d", all, rep.Wrong)
	}
	if all.Ratio.P50 < 1.99 || all.Ratio.P50 > 2.01 || all.RefusedMS.P99 < 4.9 || all.RefusedMS.P99 > 5.1 {
		t.Errorf("%+v", all)
	}
	file := filepath.Join(t.TempDir(), "plot.png")
	if err := rep.WritePlot(file); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(file); err != nil || info.Size() == 0 {
		t.Errorf("%v", err)
	}
}
