package job

import (
	"strings"
	"testing"
)

// Records of earlier versions may name fields that are gone: they are read all the same.
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
