package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"rackspur/api"
	"rackspur/config"
	"rackspur/wire"
)

// maxExpectMS bounds a caller's estimate, in milliseconds.
const maxExpectMS = 600_000

// Errors of bad input.
var (
	errBody     = eris.New("entry: bad body")
	errTooBig   = eris.New("entry: body too large")
	errSlowBody = eris.New("entry: body not read")
)

// readBody reads a request's body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return nil, eris.Wrapf(errTooBig, "more than %d bytes", limit)
	case err != nil:
		return nil, eris.Wrap(errSlowBody, err.Error())
	}
	return body, nil
}

// decodeStrict reads one JSON value without unknown fields and nothing after it.
func decodeStrict(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return eris.Wrap(errBody, err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return eris.Wrap(errBody, "something follows the JSON value")
	}
	return nil
}

// decodeJob reads a job and checks it against the configuration.
func decodeJob(body []byte, d *config.Document) (*wire.SubmitRequest, error) {
	var job api.Job
	if err := decodeStrict(body, &job); err != nil {
		return nil, err
	}
	kind := d.Kind(job.Kind)
	if kind == nil {
		return nil, eris.Wrapf(errBody, "kind %q is not declared", job.Kind)
	}
	if len(job.Tasks) == 0 || len(job.Tasks) > d.Limits.MaxTasks {
		return nil, eris.Wrapf(errBody, "a job has 1 to %d tasks, not %d", d.Limits.MaxTasks, len(job.Tasks))
	}
	if job.DeadlineMS < 0 || job.DeadlineMS > kind.DeadlineMS {
		return nil, eris.Wrapf(errBody, "deadline_ms is 1 to %d for kind %q, not %d", kind.DeadlineMS, kind.Name, job.DeadlineMS)
	}
	if job.DeadlineMS == 0 {
		job.DeadlineMS = kind.DeadlineMS
	}
	r := &wire.SubmitRequest{Kind: job.Kind, DeadlineMs: uint32(job.DeadlineMS), Tasks: make([]*wire.Task, len(job.Tasks))}
	for i, t := range job.Tasks {
		if err := checkTask(t); err != nil {
			return nil, eris.Wrapf(errBody, "tasks[%d]: %v", i, err)
		}
		r.Tasks[i] = &wire.Task{Payload: t.Payload, ExpectMs: uint32(t.ExpectMS)}
	}
	return r, nil
}

func checkTask(t api.Task) error {
	if len(t.Payload) == 0 {
		return errors.New("payload is missing")
	}
	if t.ExpectMS < 0 || t.ExpectMS > maxExpectMS {
		return fmt.Errorf("expect_ms is 0 to %d, not %d", maxExpectMS, t.ExpectMS)
	}
	return nil
}
