// Package caller is a client of the callers' interface. It resubmits under the
// same id when an answer is lost, through the next entry box.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"rackspur/api"
)

const (
	// maxAnswer bounds what is read of an answer, in bytes.
	maxAnswer = 80 << 20
	// resubmitPause is the time before a lost answer is asked for again.
	resubmitPause = 50 * time.Millisecond
	// idleConns is the number of idle connections kept to an entry box.
	idleConns = 512
)

// Errors of this package.
var (
	// ErrLost says that no answer came; the outcome is unknown.
	ErrLost = eris.New("caller: answer lost")
	// ErrJob says that the job can't be sent.
	ErrJob = eris.New("caller: bad job")
)

// Reply is an answer or a problem; the other is nil.
type Reply struct {
	Answer  *api.Answer
	Problem *api.Problem
	// Status is the HTTP status.
	Status int
}

// Outcome returns the outcome that the reply states, empty if it states none.
func (r *Reply) Outcome() api.Outcome {
	if r.Answer != nil {
		return r.Answer.Outcome
	}
	return r.Problem.Outcome
}

// NextID returns the fresh id that the reply carries, if any.
func (r *Reply) NextID() string {
	if r.Answer != nil {
		return r.Answer.NextID
	}
	return r.Problem.NextID
}

// Client sends submissions to entry boxes.
type Client struct {
	entries []string
	token   string
	http    *http.Client
	turn    atomic.Uint64
	// Resubmits counts the submissions sent again.
	Resubmits atomic.Int64
}

// New returns a client of the entry boxes at the base URLs. The token is
// "member:secret".
func New(entries []string, token string) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = idleConns
	t.MaxIdleConns = 0
	return &Client{entries: entries, token: token, http: &http.Client{Transport: otelhttp.NewTransport(t)}}
}

// IDs asks for fresh ids.
func (c *Client) IDs(ctx context.Context, n int) ([]string, *Reply, error) {
	body, _ := json.Marshal(api.IDsRequest{Count: n})
	for {
		status, answer, err := c.call(ctx, c.entry(), http.MethodPost, api.PathIDs, body)
		if err != nil || status == http.StatusServiceUnavailable {
			c.turn.Add(1)
			if !pause(ctx) {
				return nil, nil, eris.Wrap(ErrLost, "no ids")
			}
			continue
		}
		if status != http.StatusOK {
			return nil, problemOf(status, answer), nil
		}
		var ids api.IDs
		if err := json.Unmarshal(answer, &ids); err != nil {
			return nil, nil, eris.Wrap(ErrLost, err.Error())
		}
		return ids.IDs, nil, nil
	}
}

// Submit sends a job under an id until the answer is final or ctx ends. It then
// returns the last reply, or ErrLost if there was none.
func (c *Client) Submit(ctx context.Context, id string, job *api.Job) (*Reply, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, eris.Wrap(ErrJob, err.Error())
	}
	return c.SubmitRaw(ctx, id, body)
}

// SubmitRaw is Submit for a job in JSON.
func (c *Client) SubmitRaw(ctx context.Context, id string, body []byte) (*Reply, error) {
	var last *Reply
	for first := true; ; first = false {
		if !first {
			c.Resubmits.Add(1)
		}
		r, err := c.Once(ctx, http.MethodPut, id, body)
		if err == nil && r.Outcome() != api.Unknown && r.Status != http.StatusServiceUnavailable {
			return r, nil
		}
		if err == nil && r.Outcome() == api.NotRun {
			return r, nil
		}
		if err == nil {
			last = r
		}
		c.turn.Add(1)
		if !pause(ctx) {
			if last == nil {
				return nil, eris.Wrap(ErrLost, "no answer in time")
			}
			return last, nil
		}
	}
}

// Once makes one call about a submission at the entry box whose turn it is.
func (c *Client) Once(ctx context.Context, method, id string, body []byte) (*Reply, error) {
	status, answer, err := c.call(ctx, c.entry(), method, api.PathSubmissions+"/"+id, body)
	if err != nil {
		return nil, eris.Wrap(ErrLost, err.Error())
	}
	if status >= http.StatusBadRequest {
		return problemOf(status, answer), nil
	}
	var a api.Answer
	if err := json.Unmarshal(answer, &a); err != nil {
		return nil, eris.Wrap(ErrLost, err.Error())
	}
	return &Reply{Answer: &a, Status: status}, nil
}

func (c *Client) entry() string {
	return c.entries[c.turn.Load()%uint64(len(c.entries))]
}

// Next makes the next call go to the next entry box.
func (c *Client) Next() {
	c.turn.Add(1)
}

func (c *Client) call(ctx context.Context, entry, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", api.TypeJSON)
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	return res.StatusCode, answer, err
}

func problemOf(status int, answer []byte) *Reply {
	p := &api.Problem{}
	if err := json.Unmarshal(answer, p); err != nil {
		p = &api.Problem{Status: status, Title: http.StatusText(status), Reason: "unreadable", Detail: string(answer)}
	}
	return &Reply{Problem: p, Status: status}
}

// pause waits before the next try. It reports false if ctx ends.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(resubmitPause):
		return true
	}
}
