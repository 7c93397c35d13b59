package test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"rackspur/load"
)

// BenchmarkCapacity measures the costs that docs/CAPACITY.md is calculated from:
//
//	go test ./test -run xxx -bench Capacity -benchtime 1x -timeout 30m
func BenchmarkCapacity(b *testing.B) {
	b.Run("links", benchLinks)
	b.Run("members", benchMembers)
	b.Run("submissions", benchSubmissions)
	b.Run("starts", benchStarts)
}

const (
	// ticksPerSecond is the unit of the processor times in /proc.
	ticksPerSecond = 100
	// statUser and statSystem are the indices of the processor times in /proc/PID/stat
	// after the command's name.
	statUser, statSystem = 11, 12
	idleSpan             = 10 * time.Second
	bytesPerKB           = 1024
)

// usage is the resources that a process has used so far.
type usage struct {
	cpu  time.Duration
	rss  int
	sent float64
	// received is in bytes, as sent.
	received float64
	messages float64
}

// processorTime reads the processor time that a process has used so far.
func processorTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[statUser])
	system, _ := strconv.Atoi(fields[statSystem])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// usageOf reads a process's usage.
func usageOf(b *testing.B, n *node) usage {
	b.Helper()
	u := usage{cpu: processorTime(b, n.cmd.Process.Pid)}
	pid := strconv.Itoa(n.cmd.Process.Pid)
	status, err := os.ReadFile(filepath.Join("/proc", pid, "status"))
	if err != nil {
		b.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			u.rss, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	var m map[string]map[string]float64
	if getJSON(n.ops+"/metrics", &m) {
		u.sent = m["bytes.sent"]["count"]
		u.received = m["bytes.received"]["count"]
		u.messages = m["messages.sent"]["count"]
	}
	return u
}

// idle prints the average usage per second of nodes over idleSpan.
func idle(b *testing.B, label string, nodes ...*node) {
	b.Helper()
	before := make([]usage, len(nodes))
	for i, n := range nodes {
		before[i] = usageOf(b, n)
	}
	<-time.After(idleSpan)
	for i, n := range nodes {
		after := usageOf(b, n)
		s := idleSpan.Seconds()
		fmt.Printf("| %s | %s | %.2f%% of a core | %d KB | %.0f B/s | %.2f messages/s |\n", label, n.name,
			100*(after.cpu-before[i].cpu).Seconds()/s, after.rss, (after.sent-before[i].sent+after.received-before[i].received)/s,
			(after.messages-before[i].messages)/s)
	}
}

// benchLinks measures idle processes by the number of links.
func benchLinks(b *testing.B) {
	for b.Loop() {
		for _, agents := range []int{4, 16, 64} {
			c := newCluster(b, shape{entries: 2, agents: agents, slots: 8, entryArgs: []string{"--poll", "1s"}})
			idle(b, fmt.Sprintf("idle, %d agents, 2 entry boxes", agents), c.entries[0], c.agents[0])
			begun := time.Now()
			c.apply(declaration("limits: {max_tasks: 100}"))
			accepted := time.Now()
			c.awaitVersion(2)
			fmt.Printf("| configuration in force at %d agents | | | | %s to accept | %s to be in force everywhere |\n", agents,
				accepted.Sub(begun).Round(time.Millisecond), time.Since(accepted).Round(time.Millisecond))
			c.end()
		}
		for _, entries := range []int{1, 4, 8} {
			c := newCluster(b, shape{entries: entries, agents: 2, slots: 8, entryArgs: []string{"--poll", "1s"}})
			idle(b, fmt.Sprintf("idle, 2 agents, %d entry boxes", entries), c.entries[0], c.agents[0])
			c.end()
		}
	}
}

// benchMembers measures idle processes by the number of members.
func benchMembers(b *testing.B) {
	for b.Loop() {
		for _, members := range []int{50, 550} {
			d := declaration("")
			var extra strings.Builder
			for i := range members {
				fmt.Fprintf(&extra, "  - {name: team-%d, secrets: ['%s'], rate: 100, concurrency: 50}\n", i, hashA)
			}
			d = strings.Replace(d, "kinds:\n", extra.String()+"kinds:\n", 1)
			c := newCluster(b, shape{entries: 1, agents: 2, slots: 8, declaration: d, entryArgs: []string{"--poll", "1s"}})
			idle(b, fmt.Sprintf("idle, %d members", members), c.entries[0], c.agents[0])
			c.end()
		}
	}
}

// scenarioFile writes a load scenario of jobs of short tasks at a rate, in jobs per second.
func scenarioFile(b *testing.B, tasks int, rate float64) string {
	b.Helper()
	const slots, ms = 64, 2
	text := fmt.Sprintf(`name: capacity
seed: 1
duration: 8s
slots: %d
load: %g
rtt: 1ms
kinds:
  - {name: clash, member: ghanta, share: 1, tasks: [%d, %d], ms: [%d, %d]}
`, slots, rate*float64(tasks)*ms/1000/slots, tasks, tasks, ms, ms)
	file := filepath.Join(b.TempDir(), "capacity.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	return file
}

// benchLoad puts load on a cluster whose processes have one processor each and prints
// the costs of a submission and of a start.
func benchLoad(b *testing.B, label string, agents, tasks int, rate float64) {
	b.Setenv("GOMAXPROCS", "1")
	c := newCluster(b, shape{entries: 1, agents: agents, slots: 64, declaration: declaration("limits: {max_wait_ms: 600000}"), entryArgs: []string{"--poll", "1s"}})
	defer c.end()
	e, a := usageOf(b, c.entries[0]), usageOf(b, c.agents[0])
	before := c.messages()
	b.Setenv("GOMAXPROCS", "4")
	r := command(b, "", "load", scenarioFile(b, tasks, rate), "--output", "json", "--entry", c.entries[0].url, "--tokens", tokenA)
	if r.code != 0 {
		b.Fatal(r.errOut)
	}
	var report load.Report
	if err := json.Unmarshal([]byte(r.out), &report); err != nil {
		b.Fatal(err)
	}
	e2, a2 := usageOf(b, c.entries[0]), usageOf(b, c.agents[0])
	m := c.messages().minus(before)
	k := report.Kinds[0]
	sent := float64(k.Sent)
	fmt.Printf("| %s | %.0f submissions/s, %.0f starts/s over %.1f s | entry %.0f us and %.0f B a submission, %d KB | first agent %.0f us a start of its own, %d KB | %.2f messages a task | %v |\n",
		label, sent/report.Seconds, m.started/report.Seconds, report.Seconds,
		(e2.cpu-e.cpu).Seconds()*1e6/sent, (e2.sent-e.sent+e2.received-e.received)/sent, e2.rss,
		(a2.cpu-a.cpu).Seconds()*1e6/(m.started/float64(agents)), a2.rss, m.messages/m.started, k.Outcomes)
}

// benchSubmissions measures single-task submissions through one entry box.
func benchSubmissions(b *testing.B) {
	for b.Loop() {
		for _, rate := range []float64{500, 1500, 3000} {
			benchLoad(b, fmt.Sprintf("single tasks, %.0f/s asked", rate), 4, 1, rate)
		}
	}
}

// benchStarts measures the starts of one agent.
func benchStarts(b *testing.B) {
	for b.Loop() {
		for _, rate := range []float64{10, 40} {
			benchLoad(b, fmt.Sprintf("jobs of 50 tasks, one agent, %.0f starts/s asked", 50*rate), 1, 50, rate)
		}
	}
}
