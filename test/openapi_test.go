package test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/gorillamux"
)

// TestOpenAPI calls every operation of docs/openapi.yaml at a running entry box and
// validates the answers against the document.
func TestOpenAPI(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromFile("../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 4})
	doc.Servers = openapi3.Servers{{URL: c.entries[0].url}}
	router, err := gorillamux.NewRouter(doc)
	if err != nil {
		t.Fatal(err)
	}
	client := c.client(tokenA, 0)
	id, unused, cancelled := c.id(client), c.id(client), c.id(client)
	job := string(mustJSON(t, newJob(t, "clash", 2, 20)))
	cases := []struct {
		name, method, path, token, body string
		status                          int
	}{
		{"01 ids", "POST", "/v1/ids", tokenA, `{"count":2}`, 200},
		{"02 ids without a body", "POST", "/v1/ids", tokenA, ``, 200},
		{"03 ids, wrong token", "POST", "/v1/ids", "x:y", `{"count":2}`, 401},
		{"04 ids, bad count", "POST", "/v1/ids", tokenA, `{"count":0}`, 400},
		{"05 without an id", "POST", "/v1/submissions", tokenA, job, 200},
		{"06 submit", "PUT", "/v1/submissions/" + id, tokenA, job, 200},
		{"07 submit again", "PUT", "/v1/submissions/" + id, tokenA, job, 200},
		{"08 bad body", "PUT", "/v1/submissions/" + id, tokenA, `{`, 400},
		{"09 state", "GET", "/v1/submissions/" + id, tokenA, ``, 200},
		{"10 state of an unused id", "GET", "/v1/submissions/" + unused, tokenA, ``, 200},
		{"11 state, other member", "GET", "/v1/submissions/" + id, tokenB, ``, 404},
		{"12 cancel", "DELETE", "/v1/submissions/" + cancelled, tokenA, ``, 503},
		{"13 cancel what is done", "DELETE", "/v1/submissions/" + id, tokenA, ``, 200},
		{"14 another job", "PUT", "/v1/submissions/" + id, tokenA, `{"kind":"clash","tasks":[{"payload":{}}]}`, 409},
		{"15 health", "GET", "/healthz", "", ``, 200},
		{"16 readiness", "GET", "/readyz", "", ``, 200},
	}
	called := map[string]bool{}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req, err := http.NewRequest(tc.method, c.entries[0].url+tc.path, bytes.NewReader([]byte(tc.body)))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+tc.token)
			req.Header.Set("Content-Type", "application/json")
			route, params, err := router.FindRoute(req)
			if err != nil {
				t.Fatal(err)
			}
			called[tc.method+" "+route.Path] = true
			res, err := quickClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			answer, err := io.ReadAll(res.Body)
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != tc.status {
				t.Errorf("status %d, want %d: %s", res.StatusCode, tc.status, answer)
			}
			in := &openapi3filter.RequestValidationInput{Request: req, PathParams: params, Route: route}
			out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: res.StatusCode, Header: res.Header}
			out.SetBodyBytes(answer)
			if err := openapi3filter.ValidateResponse(t.Context(), out); err != nil {
				t.Errorf("the answer does not match the document: %v", err)
			}
		})
	}
	for path, item := range doc.Paths.Map() {
		for method := range item.Operations() {
			if !called[method+" "+path] {
				t.Errorf("%s %s is documented but was not called", method, path)
			}
		}
	}
}
