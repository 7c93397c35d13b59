// Package target sends tasks to the target on an agent's box.
//
// Each task is an HTTP POST request. A request is never sent again once any of it
// may have been sent.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
)

// Paths and headers of the targets' interface.
const (
	PathTasks = "/v1/tasks"
	PathUsage = "/v1/usage"

	HeaderTask   = "Rackspur-Task"
	HeaderMember = "Rackspur-Member"
	HeaderKind   = "Rackspur-Kind"
	// HeaderLease is the maximum run time of the task in milliseconds.
	HeaderLease = "Rackspur-Lease-Ms"
)

const (
	// maxResult is the maximum size of a task's result in bytes.
	maxResult = 1 << 20
	// dialTimeout bounds the time to connect to the target on the same box, and the
	// time of a usage request.
	dialTimeout = time.Second
	// Connections is the maximum number of connections to a target.
	Connections = 64
)

// Errors of this package. All but ErrUsage mean that the task may have started.
var (
	// ErrBroken is returned if no complete, valid answer arrived.
	ErrBroken = eris.New("target: broken answer")
	// ErrTask is returned if the target answered with an error.
	ErrTask = eris.New("target: task failed")
	// ErrWrongTask is returned if the answer is for a different task.
	ErrWrongTask = eris.New("target: answer for a different task")
	// ErrUsage is returned if there was no valid usage report.
	ErrUsage = eris.New("target: no usage report")
)

// Task is a task to be run by a target.
type Task struct {
	// ID identifies the task. The target repeats it in its answer.
	ID           string
	Member, Kind string
	Payload      []byte
	Lease        time.Duration
}

// Usage is a target's usage report. It may be out of date.
type Usage struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Target runs tasks.
type Target interface {
	// Run sends a task and returns its result or one of this package's errors.
	Run(ctx context.Context, t Task) ([]byte, error)
	// Usage returns the last usage report or ErrUsage.
	Usage(ctx context.Context) (Usage, error)
}

// client implements Target over HTTP.
type client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the target at a base URL.
func NewClient(base string) Target {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     Connections,
		MaxIdleConnsPerHost: Connections,
	}
	return &client{base: base, http: &http.Client{
		Transport:     otelhttp.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// onceReader hides the type of a request body, so that http.NewRequest sets no
// GetBody and the transport can't send the request again.
type onceReader struct {
	io.Reader
}

// Run implements Target.Run.
func (c *client) Run(ctx context.Context, t Task) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Lease)
	defer cancel()
	req, err := c.request(ctx, t)
	if err != nil {
		return nil, eris.Wrap(ErrTask, err.Error())
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(ErrBroken, err.Error())
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResult+1))
	if err != nil {
		return nil, eris.Wrap(ErrBroken, err.Error())
	}
	return checkResponse(t, res, body)
}

func (c *client) request(ctx context.Context, t Task) (*http.Request, error) {
	body := onceReader{bytes.NewReader(t.Payload)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathTasks, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(t.Payload))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderTask, t.ID)
	req.Header.Set(HeaderMember, t.Member)
	req.Header.Set(HeaderKind, t.Kind)
	req.Header.Set(HeaderLease, strconv.FormatInt(t.Lease.Milliseconds(), 10))
	return req, nil
}

// checkResponse returns the body of a response if it is the valid answer for the task.
func checkResponse(t Task, res *http.Response, body []byte) ([]byte, error) {
	if res.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrTask, "status %d: %.200s", res.StatusCode, body)
	}
	if got := res.Header.Get(HeaderTask); got != t.ID {
		return nil, eris.Wrapf(ErrWrongTask, "%q", got)
	}
	if len(body) > maxResult {
		return nil, eris.Wrapf(ErrBroken, "result over %d bytes", maxResult)
	}
	if !json.Valid(body) {
		return nil, eris.Wrap(ErrBroken, "result is not JSON")
	}
	return body, nil
}

// Usage implements Target.Usage.
func (c *client) Usage(ctx context.Context) (Usage, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathUsage, nil)
	if err != nil {
		return Usage{}, eris.Wrap(ErrUsage, err.Error())
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Usage{}, eris.Wrap(ErrUsage, err.Error())
	}
	defer res.Body.Close()
	var u Usage
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResult)).Decode(&u); err != nil {
		return Usage{}, eris.Wrap(ErrUsage, err.Error())
	}
	return u, nil
}
