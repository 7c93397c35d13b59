// Package caller is a client of the callers' interface. If an answer is lost, it
// resubmits under the same id to the next entry box.
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
	// maxAnswer is the maximum size of an answer in bytes.
	maxAnswer = 80 << 20
	// retryDelay is the delay before a request is sent again.
	retryDelay = 50 * time.Millisecond
	// idleConns is the maximum number of idle connections to an entry box.
	idleConns = 512
)

// Errors of this package.
var (
	// ErrLost is returned if no valid answer arrived. The outcome is unknown.
	ErrLost = eris.New("caller: answer lost")
	// ErrJob is returned for a job that can't be encoded.
	ErrJob = eris.New("caller: bad job")
)

// Reply is the reply to a request. Either Answer or Problem is set.
type Reply struct {
	Answer  *api.Answer
	Problem *api.Problem
	// Status is the HTTP status code.
	Status int
}

// Outcome returns the outcome in the reply, or an empty one if there is none.
func (r *Reply) Outcome() api.Outcome {
	if r.Answer != nil {
		return r.Answer.Outcome
	}
	return r.Problem.Outcome
}

// NextID returns the unused id in the reply, or an empty string if there is none.
func (r *Reply) NextID() string {
	if r.Answer != nil {
		return r.Answer.NextID
	}
	return r.Problem.NextID
}

// Client sends submissions to entry boxes.
type Client struct {
	entries    []string
	token      string
	http       *http.Client
	entryIndex atomic.Uint64
	// Resubmits counts the resubmissions.
	Resubmits atomic.Int64
}

// New returns a client of the entry boxes at the given base URLs. The token has the
// form "member:secret".
func New(entries []string, token string) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = idleConns
	t.MaxIdleConns = 0
	return &Client{entries: entries, token: token, http: &http.Client{Transport: otelhttp.NewTransport(t)}}
}

// IDs requests n unused ids. It retries until ctx is done. If the request is refused,
// it returns the reply instead.
func (c *Client) IDs(ctx context.Context, n int) ([]string, *Reply, error) {
	body, _ := json.Marshal(api.IDsRequest{Count: n})
	for {
		status, answer, err := c.call(ctx, c.currentEntry(), http.MethodPost, api.PathIDs, body)
		if err != nil || status == http.StatusServiceUnavailable {
			c.entryIndex.Add(1)
			if !pause(ctx) {
				return nil, nil, eris.Wrap(ErrLost, "no ids received in time")
			}
			continue
		}
		if status != http.StatusOK {
			return nil, parseProblem(status, answer), nil
		}
		var ids api.IDs
		if err := json.Unmarshal(answer, &ids); err != nil {
			return nil, nil, eris.Wrap(ErrLost, err.Error())
		}
		return ids.IDs, nil, nil
	}
}

// Submit submits a job under an id until the reply is final or ctx is done. It
// returns the last reply, or ErrLost if there was none.
func (c *Client) Submit(ctx context.Context, id string, job *api.Job) (*Reply, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, eris.Wrap(ErrJob, err.Error())
	}
	return c.SubmitRaw(ctx, id, body)
}

// SubmitRaw is like Submit for a job encoded as JSON.
func (c *Client) SubmitRaw(ctx context.Context, id string, body []byte) (*Reply, error) {
	var last *Reply
	for first := true; ; first = false {
		if !first {
			c.Resubmits.Add(1)
		}
		r, err := c.Call(ctx, http.MethodPut, id, body)
		if err == nil && r.Outcome() != api.Unknown && r.Status != http.StatusServiceUnavailable {
			return r, nil
		}
		if err == nil && r.Outcome() == api.NotRun {
			return r, nil
		}
		if err == nil {
			last = r
		}
		c.entryIndex.Add(1)
		if !pause(ctx) {
			if last == nil {
				return nil, eris.Wrap(ErrLost, "no answer received in time")
			}
			return last, nil
		}
	}
}

// Call sends a single request about a submission to the current entry box.
func (c *Client) Call(ctx context.Context, method, id string, body []byte) (*Reply, error) {
	status, answer, err := c.call(ctx, c.currentEntry(), method, api.PathSubmissions+"/"+id, body)
	if err != nil {
		return nil, eris.Wrap(ErrLost, err.Error())
	}
	if status >= http.StatusBadRequest {
		return parseProblem(status, answer), nil
	}
	var a api.Answer
	if err := json.Unmarshal(answer, &a); err != nil {
		return nil, eris.Wrap(ErrLost, err.Error())
	}
	return &Reply{Answer: &a, Status: status}, nil
}

func (c *Client) currentEntry() string {
	return c.entries[c.entryIndex.Load()%uint64(len(c.entries))]
}

// NextEntry switches to the next entry box.
func (c *Client) NextEntry() {
	c.entryIndex.Add(1)
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

func parseProblem(status int, answer []byte) *Reply {
	p := &api.Problem{}
	if err := json.Unmarshal(answer, p); err != nil {
		p = &api.Problem{Status: status, Title: http.StatusText(status), Reason: "unreadable", Detail: string(answer)}
	}
	return &Reply{Problem: p, Status: status}
}

// pause waits for retryDelay. It returns false if ctx is done first.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}
