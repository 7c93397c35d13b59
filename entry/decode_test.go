package entry

import (
	"errors"
	"testing"

	"rackspur/config"
)

func testDocument() *config.Document {
	return &config.Document{
		Kinds:  []config.Kind{{Name: "k", ExpectMS: 1, LeaseMS: 1, DeadlineMS: 1000}},
		Limits: config.Limits{MaxTasks: 3},
	}
}

func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"kind":"k","tasks":[{"payload":{"ms":1}}]}`))
	f.Add([]byte(`{"kind":"k","deadline_ms":5,"tasks":[{"payload":1,"expect_ms":2}]}`))
	f.Add([]byte(`[]`))
	d := testDocument()
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := decodeJob(body, d)
		if err != nil {
			if !errors.Is(err, errBody) {
				t.Errorf("%v", err)
			}
			return
		}
		if len(r.GetTasks()) < 1 || len(r.GetTasks()) > 3 || r.GetDeadlineMs() < 1 || r.GetDeadlineMs() > 1000 {
			t.Errorf("a job out of bounds was taken: %v", r)
		}
	})
}
