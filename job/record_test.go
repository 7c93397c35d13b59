package job

import (
	"maps"
	"strings"
	"testing"
)

// Records of earlier versions may have fields that no longer exist; these are ignored.
func TestRecordWithUnknownField(t *testing.T) {
	r := Record{Submission: Submission{
		ID: "00000000000000aa", Spec: "spec",
		Queue: Queue{Name: "checks", Service: "bench", Attempts: 2},
		Steps: []Step{{Count: 1, Need: Resources{CPU: 1600, Memory: 64}, EstimateMS: 100}},
	}}
	const queue = `"queue":{`
	text := string(r.Encode())
	if !strings.Contains(text, queue) {
		t.Fatalf("no %s in %s", queue, text)
	}
	old := strings.Replace(text, queue, queue+`"unguarded":true,`, 1)
	got, err := DecodeRecord([]byte(old))
	if err != nil {
		t.Fatal(err)
	}
	if string(got.Encode()) != text {
		t.Errorf("read as %s, want %s", got.Encode(), text)
	}
}

// A record that decodes encodes to an equal record and names only tasks of its job.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"steps":[{"count":-1}],"done":{"99999999":0}}`))
	r := Record{Submission: Submission{ID: "5c0e7a21d94b36f8", Queue: Queue{Name: "q", Service: "a", Attempts: 2, Stretch: 1.6}, Steps: []Step{{Count: 3}}}, Owner: "entry-1~a"}
	r.SetDone(0, 1)
	r.AddFailure(2, 1)
	r.GiveUp(1, 2)
	f.Add(r.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRecord(b)
		if err != nil {
			return
		}
		for task := range r.GivenUp {
			if task < 0 || task >= r.TaskCount() {
				t.Errorf("a run of task %d of %d was given up", task, r.TaskCount())
			}
		}
		for task := range r.Done {
			if task < 0 || task >= r.TaskCount() {
				t.Errorf("task %d of %d is done", task, r.TaskCount())
			}
		}
		back, err := DecodeRecord(r.Encode())
		if err != nil || !maps.Equal(back.Done, r.Done) || !maps.Equal(back.GivenUp, r.GivenUp) || back.TaskCount() != r.TaskCount() || back.Owner != r.Owner {
			t.Errorf("%+v, read again %+v, %v", r, back, err)
		}
	})
}

// Records with ends of tasks that the job does not have are rejected.
func TestRecordOfOtherTasks(t *testing.T) {
	r := Record{Submission: Submission{ID: "5c0e7a21d94b36f8", Queue: Queue{Name: "q", Service: "a", Attempts: 2, Stretch: 1.6}, Steps: []Step{{Count: 3}}}, Owner: "entry-1~a"}
	r.SetDone(2, 1)
	if _, err := DecodeRecord(r.Encode()); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(r *Record){
		"done":       func(r *Record) { r.SetDone(3, 1) },
		"no run":     func(r *Record) { r.SetDone(1, 0) },
		"failed":     func(r *Record) { r.AddFailure(-1, 1) },
		"given up":   func(r *Record) { r.GiveUp(3, 1) },
		"generation": func(r *Record) { r.Generation = -1 },
	} {
		bad := r
		bad.Done = map[int]int{2: 1}
		change(&bad)
		if _, err := DecodeRecord(bad.Encode()); err == nil {
			t.Errorf("%s: decoded without an error", name)
		}
	}
}
