package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// Paths of the platform's HTTP interface.
const (
	PathTable   = "/v1/table"
	PathCommit  = "/v1/commit"
	PathObjects = "/v1/objects"
	PathBoxes   = "/v1/boxes"
)

// maxAnswerBytes bounds the size of an answer.
const maxAnswerBytes = 64 << 20

// client calls the platform's service over HTTP.
type client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// Option configures the service that NewClient returns.
type Option func(*client)

// WithTimeout sets the timeout of a call; the default is 2 s.
func WithTimeout(d time.Duration) Option {
	return func(c *client) { c.timeout = d }
}

// NewClient returns a client of the service at a base URL.
func NewClient(base string, opts ...Option) Service {
	c := &client{base: base, timeout: 2 * time.Second, http: &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Get implements Table.Get.
func (c *client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.getJSON(ctx, PathTable+"/"+url.PathEscape(key), &row)
	return row, err
}

// List implements Table.List.
func (c *client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.getJSON(ctx, PathTable+"?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Commit implements Table.Commit.
func (c *client) Commit(ctx context.Context, tx Commit) error {
	body, err := json.Marshal(tx)
	if err != nil {
		return eris.Wrap(ErrRefused, err.Error())
	}
	_, err = c.call(ctx, http.MethodPost, PathCommit, body)
	return uncertainWrite(err)
}

// GetObject implements Objects.GetObject.
func (c *client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, PathObjects+"/"+url.PathEscape(key), nil)
}

// PutObject implements Objects.PutObject.
func (c *client) PutObject(ctx context.Context, key string, value []byte) error {
	_, err := c.call(ctx, http.MethodPut, PathObjects+"/"+url.PathEscape(key), value)
	return uncertainWrite(err)
}

// ListBoxes implements Boxes.ListBoxes.
func (c *client) ListBoxes(ctx context.Context) ([]Box, error) {
	var boxes []Box
	err := c.getJSON(ctx, PathBoxes, &boxes)
	return boxes, err
}

// uncertainWrite turns ErrUnavailable into ErrUncertain, since an unanswered write may have
// taken effect.
func uncertainWrite(err error) error {
	if errors.Is(err, ErrUnavailable) {
		return eris.Wrap(ErrUncertain, err.Error())
	}
	return err
}

func (c *client) getJSON(ctx context.Context, path string, into any) error {
	body, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

func (c *client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(ErrRefused, err.Error())
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	return answer, statusError(res.StatusCode, answer)
}

func statusError(code int, answer []byte) error {
	switch {
	case code < 300:
		return nil
	case code == http.StatusNotFound:
		return ErrNotFound
	case code == http.StatusConflict:
		return eris.Wrap(ErrConflict, string(answer))
	case code >= 500 || code == http.StatusTooManyRequests:
		return eris.Wrapf(ErrUnavailable, "status %d", code)
	default:
		return eris.Wrapf(ErrRefused, "status %d: %s", code, answer)
	}
}
