package bound

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// one is a scenario of one kind whose jobs have a single task of a fixed size, on
// one target with room for some of them.
func one(room int, rate float64) *Scenario {
	return &Scenario{
		Duration: 10 * time.Second,
		Targets:  []Targets{{Count: 1, CPU: room, Speed: 1}},
		Kinds:    []Kind{{Name: "k", Rate: rate, WorkMS: 100, Width: 1, CPU: 1000, Worth: 1, Stretch: 1.6, LatencyMS: 60}},
	}
}

func TestPlay(t *testing.T) {
	for _, order := range []Order{OrderSlack, OrderWorth} {
		light := one(100_000, 10).Play(1, 1, order, 0)["k"]
		if light.Jobs == 0 || light.InTime != light.Jobs || light.Earned != light.Worth {
			t.Errorf("%s, room for all: %+v", order, light)
		}
		// Room for one task of 100 ms at a time: 10 a second of 40.
		heavy := one(1000, 40).Play(1, 1, order, 0)["k"]
		if heavy.InTime < 80 || heavy.InTime > 105 || heavy.Late != 0 || heavy.InTime+heavy.Dropped != heavy.Jobs {
			t.Errorf("%s, a quarter of the room: %+v", order, heavy)
		}
		dead := one(1000, 40).Play(1, 1, order, 100*time.Millisecond)["k"]
		if dead.InTime > heavy.InTime*2/3 {
			t.Errorf("%s: %d in time with every task's room held twice as long, %d without", order, dead.InTime, heavy.InTime)
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
