package test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"rackspur/job"
	"rackspur/rowstore"
)

// TestPlatformPath serves durable and best-effort jobs with real processes over the
// platform's interfaces.
func TestPlatformPath(t *testing.T) {
	d := newDeployment(t, 2, 2)
	durable := "00000000000000aa"
	waitFor(t, "a job is accepted", func() bool {
		status, _ := d.entries[0].ask(http.MethodPost, durable, platformJob(6, false))
		return status == http.StatusOK
	})
	if status, _ := d.entries[1].ask(http.MethodPost, durable, platformJob(6, false)); status != http.StatusOK {
		t.Errorf("the same job at another entry: %d", status)
	}
	waitFor(t, "the job is completed at both entries", func() bool {
		_, a := d.entries[0].ask(http.MethodGet, durable, nil)
		_, b := d.entries[1].ask(http.MethodGet, durable, nil)
		return a == string(job.StateCompleted) && b == string(job.StateCompleted)
	})
	if status, state := d.entries[1].ask(http.MethodPost, "00000000000000bb", platformJob(4, true)); status != http.StatusOK || state != string(job.StateCompleted) {
		t.Errorf("best effort: %d %q", status, state)
	}
	if status, _ := d.entries[0].ask(http.MethodGet, "00000000000000cc", nil); status != http.StatusGone {
		t.Errorf("unknown job: %d", status)
	}
	if status, _ := d.entries[0].ask(http.MethodPost, "00000000000000dd", []byte("{")); status != http.StatusBadRequest {
		t.Errorf("unreadable job: %d", status)
	}
	waitFor(t, "all ends are noted", func() bool {
		for _, spans := range d.spans() {
			if !spans[len(spans)-1].Noted {
				return false
			}
		}
		return true
	})
}

// TestPlatformPolicies runs an entry with a policies file and reloads it on SIGHUP; an
// invalid file must leave the policies unchanged.
func TestPlatformPolicies(t *testing.T) {
	path := filepath.Join(t.TempDir(), "policies.yaml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	closed := "admit: |\n  def admit(job):\n      return refuse('closed', 100)\n"
	write("base: least-loaded\n")
	d := newDeployment(t, 1, 2, "--policies", path)
	e := d.entries[0]
	next := 0
	submit := func() int {
		next++
		status, _ := e.ask(http.MethodPost, fmt.Sprintf("%016x", next), platformJob(3, true))
		return status
	}
	waitFor(t, "jobs are served by the first policies", func() bool { return submit() == http.StatusOK })
	write(closed)
	e.signal(syscall.SIGHUP)
	waitFor(t, "jobs are refused", func() bool { return submit() == http.StatusServiceUnavailable })
	write("base: no-such-set\n")
	e.signal(syscall.SIGHUP)
	waitFor(t, "the entry logs that the policies are invalid", func() bool { return strings.Contains(e.log.String(), "Policies not reloaded") })
	if status := submit(); status != http.StatusServiceUnavailable {
		t.Errorf("after an invalid policies file: %d", status)
	}
}

// TestEntryStartsInOutage starts an entry while the store refuses all calls: the entry
// must not be ready, and must answer 503 instead of treating the routes as missing. Once
// the store is back it must serve without being restarted.
func TestEntryStartsInOutage(t *testing.T) {
	d := newDeployment(t, 2, 2)
	e := d.entries[0]
	ready := func() bool { return answers("http://" + e.ip + ":" + platformReadinessPort + "/v1/ready") }
	for i, entry := range d.entries {
		waitFor(t, "a job is served", func() bool {
			status, _ := entry.ask(http.MethodPost, fmt.Sprintf("%015xb", i), platformJob(2, true))
			return status == http.StatusOK
		})
	}
	d.store.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultRefuse })
	e.kill()
	e.restart()
	waitFor(t, "the entry refuses a job", func() bool {
		status, _ := e.ask(http.MethodPost, "00000000000000ab", platformJob(2, true))
		return status == http.StatusServiceUnavailable
	})
	if ready() {
		t.Error("an entry without a configuration says that it is ready")
	}
	if status, _ := d.entries[1].ask(http.MethodPost, "00000000000000ac", platformJob(2, true)); status != http.StatusOK {
		t.Errorf("a best-effort job at an entry that has its configuration: %d", status)
	}
	d.store.SetFault(nil)
	waitFor(t, "the entry is ready", ready)
	if status, _ := e.ask(http.MethodPost, "00000000000000ad", platformJob(2, true)); status != http.StatusOK {
		t.Errorf("a job after the outage: %d", status)
	}
}
