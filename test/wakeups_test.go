package test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Load and duration of BenchmarkWakeUps.
const (
	wakeUpSpan = 8 * time.Second
	// wakeUpJobs is the number of jobs per second, wakeTasks the tasks of each.
	wakeUpJobs = 40
	wakeTasks  = 4
)

// BenchmarkWakeUps measures the wake-ups and the processor time of each role's
// processes, idle and under load, for several numbers of entry boxes and agents:
//
//	go test ./test -run xxx -bench WakeUps -benchtime 1x
//
// A wake-up is a voluntary context switch of any thread.
func BenchmarkWakeUps(b *testing.B) {
	// One processor for each process, as on the platform's boxes.
	b.Setenv("GOMAXPROCS", "1")
	for _, size := range []struct{ entries, agents int }{{4, 8}, {12, 8}, {4, 24}} {
		b.Run(fmt.Sprintf("%d entries and %d agents", size.entries, size.agents), func(b *testing.B) {
			for b.Loop() {
				d := newDeployment(b, size.entries, size.agents)
				pause(2 * time.Second)
				d.watch(fmt.Sprintf("%d and %d, idle", size.entries, size.agents))
				stop := d.load()
				d.watch(fmt.Sprintf("%d and %d, %d tasks/s", size.entries, size.agents, wakeUpJobs*wakeTasks))
				stop()
			}
		})
	}
}

// load sends best-effort jobs at a constant rate, to all entries in turn, until stop is
// called.
func (d *deployment) load() (stop func()) {
	done := make(chan struct{})
	var calls sync.WaitGroup
	go func() {
		ticker := time.NewTicker(time.Second / wakeUpJobs)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			calls.Go(func() {
				d.entries[i%len(d.entries)].ask(http.MethodPost, fmt.Sprintf("%016x", i), platformJob(wakeTasks, true))
			})
		}
	}()
	return func() {
		close(done)
		calls.Wait()
	}
}

// watch prints the average wake-ups and processor time per second of each role's processes.
func (d *deployment) watch(label string) {
	roles := []struct {
		name  string
		boxes []*box
	}{{"entry", d.entries}, {"agent", d.agents}}
	before := map[*box]processUsage{}
	for _, r := range roles {
		for _, m := range r.boxes {
			before[m] = m.usage()
		}
	}
	pause(wakeUpSpan)
	for _, r := range roles {
		var sum processUsage
		for _, m := range r.boxes {
			after := m.usage()
			sum.wakeUps += after.wakeUps - before[m].wakeUps
			sum.cpu += after.cpu - before[m].cpu
		}
		n := float64(len(r.boxes)) * wakeUpSpan.Seconds()
		fmt.Printf("| %s | %s | %.0f wake-ups/s | %.2f%% of a core |\n", label, r.name, float64(sum.wakeUps)/n, 100*sum.cpu.Seconds()/n)
	}
}

// processUsage is the wake-ups and processor time of a process so far.
type processUsage struct {
	wakeUps int
	cpu     time.Duration
}

func (m *box) usage() processUsage {
	pid := strconv.Itoa(m.cmd.Process.Pid)
	var e processUsage
	threads, _ := filepath.Glob(filepath.Join("/proc", pid, "task", "*", "status"))
	for _, path := range threads {
		status, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(status), "\n") {
			if rest, ok := strings.CutPrefix(line, "voluntary_ctxt_switches:"); ok {
				n, _ := strconv.Atoi(strings.TrimSpace(rest))
				e.wakeUps += n
			}
		}
	}
	e.cpu = processorTime(m.t, m.cmd.Process.Pid)
	return e
}
