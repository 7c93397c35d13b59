package job

import "testing"

func TestCounts(t *testing.T) {
	var e Ends
	e.SetDone(0, 2)
	e.AddFailure(0, 1)
	e.GiveUp(1, 2)
	e.AddFailure(1, 1)
	e.GiveUp(2, 1)
	e.SetDone(2, 2)
	tests := []struct {
		name      string
		task, run int
		want      bool
	}{
		{"the run that completed its task", 0, 2, true},
		{"a failure before it", 0, 1, true},
		{"a later run of a done task", 0, 3, false},
		{"a run that was given up", 1, 2, false},
		{"a failure that was counted before", 1, 1, true},
		{"a run after one that was given up", 1, 3, true},
		{"a run that was given up before the task was done", 2, 1, false},
		{"the only run of a task", 3, 1, true},
	}
	for _, test := range tests {
		if got := e.Counts(test.task, test.run); got != test.want {
			t.Errorf("%s: counts %v, want %v", test.name, got, test.want)
		}
	}
}

// Final records that earlier versions have written hold no runs that were given up.
func TestFinalOfEarlierVersion(t *testing.T) {
	f, err := DecodeFinal([]byte(`{"queue":"q","state":"cancelled","ended_ms":1,"done":{"0":1},"steps":[2],"owner":"entry-1~a","sequence":3}`))
	if err != nil {
		t.Fatal(err)
	}
	if !f.Counts(0, 1) || f.Counts(0, 2) || !f.Counts(1, 1) {
		t.Errorf("%+v: other runs count", f)
	}
}
