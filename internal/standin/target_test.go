package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rackspur/target"
)

// TestSlotIsFreeOnceAnswered checks that a task's slot is free by the time its answer
// arrives: a full target must accept the next task at once.
func TestSlotIsFreeOnceAnswered(t *testing.T) {
	const slots, rounds = 8, 300
	srv := httptest.NewServer(NewTarget("t", slots).Handler())
	defer srv.Close()
	c := target.NewClient(srv.URL)
	var wg sync.WaitGroup
	for range slots {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range rounds {
				_, err := c.Run(t.Context(), target.Task{ID: "x", Payload: []byte(`{"ms":0}`), Lease: 10 * time.Second})
				if err != nil {
					t.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
}

// TestLeaseLeavesNoResult checks that a task whose lease expires gets no answer.
func TestLeaseLeavesNoResult(t *testing.T) {
	srv := httptest.NewServer(NewTarget("t", 1).Handler())
	defer srv.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+target.PathTasks, strings.NewReader(`{"ms":5000}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(target.HeaderLease, "1")
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		defer res.Body.Close()
		t.Errorf("answered %s", res.Status)
	}
}
