package bound

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// singleTaskScenario returns a scenario with one target and one kind of job, with a
// single task of fixed size.
func singleTaskScenario(cpu int, rate float64) *Scenario {
	return &Scenario{
		Duration: 10 * time.Second,
		Targets:  []Targets{{Count: 1, CPU: cpu, Speed: 1}},
		Kinds:    []Kind{{Name: "k", Rate: rate, WorkMS: 100, Width: 1, CPU: 1000, Worth: 1, Stretch: 1.6, LatencyMS: 60}},
	}
}

func TestPlay(t *testing.T) {
	for _, order := range []Order{OrderSlack, OrderWorth} {
		light := singleTaskScenario(100_000, 10).Simulate(1, 1, order, 0)["k"]
		if light.Jobs == 0 || light.InTime != light.Jobs || light.Earned != light.Worth {
			t.Errorf("%s, enough capacity: %+v", order, light)
		}
		// One task of 100 ms runs at a time: 10 of the 40 jobs per second.
		heavy := singleTaskScenario(1000, 40).Simulate(1, 1, order, 0)["k"]
		if heavy.InTime < 80 || heavy.InTime > 105 || heavy.Late != 0 || heavy.InTime+heavy.Dropped != heavy.Jobs {
			t.Errorf("%s, a quarter of the capacity: %+v", order, heavy)
		}
		delayed := singleTaskScenario(1000, 40).Simulate(1, 1, order, 100*time.Millisecond)["k"]
		if delayed.InTime > heavy.InTime*2/3 {
			t.Errorf("%s: %d in time when each task occupies its target twice as long, %d otherwise", order, delayed.InTime, heavy.InTime)
		}
	}
}

func TestRead(t *testing.T) {
	if _, err := Read("rating"); err != nil {
		t.Fatal(err)
	}
	bad := map[string]string{
		"unknown field": "duration: 1s\nnonsense: 1\n",
		"no targets":    "duration: 1s\nkinds: [{name: k}]\n",
		"no kinds":      "duration: 1s\ntargets: [{count: 1, cpu: 1, speed: 1}]\n",
		"no duration":   "targets: [{count: 1, cpu: 1, speed: 1}]\n",
		"bad kind":      "duration: 1s\ntargets: [{count: 1, cpu: 1, speed: 1}]\nkinds: [{name: k, rate: 1}]\n",
	}
	for name, text := range bad {
		file := filepath.Join(t.TempDir(), "s.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(file); !errors.Is(err, ErrScenario) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Read("not/there"); !errors.Is(err, ErrScenario) {
		t.Errorf("no file: %v", err)
	}
}
