// Package target sends tasks to the one target of an agent's box.
//
// The interface is a plain HTTP POST for each task, sent exactly once: nothing
// is sent again after its first byte may have left.
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
	// HeaderLease is the longest run time of the task in milliseconds.
	HeaderLease = "Rackspur-Lease-Ms"
)

const (
	// maxResult bounds a task's result in bytes.
	maxResult = 1 << 20
	// dialTimeout bounds the time to connect to a target on the own box.
	dialTimeout = time.Second
	// Connections is the number of connections a target takes.
	Connections = 64
)

// Errors of this package. Each says that the task may have started.
var (
	// ErrBroken says that no whole answer came.
	ErrBroken = eris.New("target: broken answer")
	// ErrTask says that the target answered with an error.
	ErrTask = eris.New("target: task failed")
	// ErrWrongTask says that the target answered for another task.
	ErrWrongTask = eris.New("target: answer of another task")
	// ErrUsage says that the target gave no usage report.
	ErrUsage = eris.New("target: no usage report")
)

// Task is one task for a target.
type Task struct {
	// ID names the task; the target repeats it in its answer.
	ID           string
	Member, Kind string
	Payload      []byte
	Lease        time.Duration
}

// Usage is a target's report, which lags.
type Usage struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	// AgeMS is how old the report is.
	AgeMS int64 `json:"age_ms"`
}

// Target runs tasks.
type Target interface {
	// Run sends a task and returns its result or one of this package's errors.
	Run(ctx context.Context, t Task) ([]byte, error)
	// Usage returns the last usage report or ErrUsage.
	Usage(ctx context.Context) (Usage, error)
}

// client is a target over HTTP.
type client struct {
	base string
	http *http.Client
}

// NewClient returns the target at a base URL.
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

// onceReader is a body that can't be read again, so that the HTTP transport
// has nothing to repeat a request with.
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
	return check(t, res, body)
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

// check takes only the whole answer of the task that was sent.
func check(t Task, res *http.Response, body []byte) ([]byte, error) {
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
