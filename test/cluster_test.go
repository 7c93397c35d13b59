package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"rackspur/agent"
	"rackspur/api"
	"rackspur/caller"
	"rackspur/config"
	"rackspur/entry"
	"rackspur/id"
	"rackspur/internal/standin"
	"rackspur/store"
)

// shape is the size and configuration of a cluster.
type shape struct {
	entries, agents, slots int
	// proxies puts a proxy before every entry box, agent and target.
	proxies bool
	// declaration is applied before the agents start; it defaults to declaration("").
	declaration string
	// agentArgs and entryArgs are added to the commands.
	agentArgs, entryArgs []string
}

// cluster is a platform stand-in, entry boxes, agents and targets in separate processes.
type cluster struct {
	t        testing.TB
	platform *node
	entries  []*node
	agents   []*node
	targets  []*node
}

// node is a process of a cluster and its addresses.
type node struct {
	*process
	// url is the address that others use, possibly a proxy's; direct is the process's own.
	name, url, direct, ops string
	address                string
	proxy                  *proxy
}

// Members of the test declaration.
const (
	tokenA = "ghanta:secret-a"
	tokenB = "acquirer:secret-b"
)

// declaration returns the test declaration with some lines added.
func declaration(extra string) string {
	return fmt.Sprintf(`members:
  - {name: ghanta, secrets: ['%s']}
  - {name: acquirer, secrets: ['%s']}
kinds:
  - {name: reshuffle, expect_ms: 100, lease_ms: 2000, deadline_ms: 20000}
  - {name: swap, expect_ms: 50, lease_ms: 2000, deadline_ms: 10000}
  - {name: clash, repeatable: true, expect_ms: 50, lease_ms: 2000, deadline_ms: 10000}
  - {name: patient, expect_ms: 100, lease_ms: 15000, deadline_ms: 20000}
  - {name: short, expect_ms: 50, lease_ms: 400, deadline_ms: 10000}
%s`, hashA, hashB, extra)
}

var (
	hashA = config.HashSecret("secret-a")
	hashB = config.HashSecret("secret-b")
)

// newCluster starts a cluster and waits until it is ready.
func newCluster(t testing.TB, s shape) *cluster {
	t.Helper()
	if s.declaration == "" {
		s.declaration = declaration("")
	}
	c := &cluster{t: t}
	c.startPlatform()
	c.apply(s.declaration)
	for i := range s.agents {
		c.startAgent(i, s)
	}
	for i := range s.entries {
		c.startEntry(i, s)
	}
	for _, e := range c.entries {
		c.awaitLinks(e, s.agents)
	}
	c.awaitIdle()
	return c
}

func (c *cluster) startPlatform() {
	address := freeAddresses(c.t, 1)[0]
	p := start(c.t, "platform", "standin", "platform", "--listen", address)
	c.platform = &node{process: p, address: address, url: "http://" + address, direct: "http://" + address}
	waitFor(c.t, "platform answers", func() bool { return answers(c.platform.url + store.PathBoxes) })
}

// domains are the failure domains of the test cluster.
var domains = []string{"lahore-a", "lahore-b", "lahore-c"}

// listen returns the address to listen on and the one that others use, which is that of
// a proxy if proxied is set.
func (c *cluster) listen(proxied bool) (own, public string, p *proxy) {
	own = freeAddresses(c.t, 1)[0]
	if !proxied {
		return own, own, nil
	}
	p = newProxy(c.t, "127.0.0.1:0", own)
	return own, p.address, p
}

func (c *cluster) startAgent(i int, s shape) {
	c.t.Helper()
	name := "engine-" + strconv.Itoa(i+1)
	targetOwn, targetPublic, targetProxy := c.listen(s.proxies)
	target := start(c.t, "target "+name, "standin", "target", "--listen", targetOwn, "--name", name, "--slots", strconv.Itoa(s.slots))
	c.targets = append(c.targets, &node{process: target, name: name, direct: "http://" + targetOwn, proxy: targetProxy})
	waitFor(c.t, "target answers", func() bool { return answers("http://" + targetOwn + standin.PathStarts) })
	own, public, p := c.listen(s.proxies)
	ops := freeAddresses(c.t, 1)[0]
	args := append([]string{"agent", "--listen", own, "--advertise", public, "--ops", ops, "--target", name,
		"--target-url", "http://" + targetPublic, "--slots", strconv.Itoa(s.slots), "--domain", domains[i%len(domains)],
		"--platform", c.platform.url, "--verbosity", "1"}, s.agentArgs...)
	a := start(c.t, name, args...)
	c.agents = append(c.agents, &node{process: a, name: name, address: public, ops: "http://" + ops, proxy: p})
	c.setBox(store.Box{Name: name, Role: store.RoleAgent, Address: public, Domain: domains[i%len(domains)], State: store.BoxLive})
}

func (c *cluster) startEntry(i int, s shape) {
	c.t.Helper()
	name := "entry-" + strconv.Itoa(i+1)
	own, public, p := c.listen(s.proxies)
	ops := freeAddresses(c.t, 1)[0]
	args := append([]string{"entry", "--name", name, "--listen", own, "--ops", ops, "--domain", domains[i%len(domains)],
		"--platform", c.platform.url, "--poll", "100ms", "--stop-delay", "100ms", "--verbosity", "1"}, s.entryArgs...)
	e := start(c.t, name, args...)
	c.entries = append(c.entries, &node{process: e, name: name, address: public, url: "http://" + public, direct: "http://" + own, ops: "http://" + ops, proxy: p})
	c.setBox(store.Box{Name: name, Role: store.RoleEntry, Address: public, State: store.BoxLive})
}

// awaitLinks waits until an entry box is ready and linked to n agents that can be homes.
func (c *cluster) awaitLinks(e *node, n int) {
	c.t.Helper()
	waitFor(c.t, fmt.Sprintf("%s is linked to %d agents", e.name, n), func() bool {
		st, ok := entryStatus(e)
		if !ok || !st.Ready {
			return false
		}
		linked := 0
		for _, a := range st.Agents {
			if a.Linked && !a.Leaving && a.Version == st.Version {
				linked++
			}
		}
		return linked == n
	})
}

func entryStatus(e *node) (entry.Status, bool) {
	var st entry.Status
	return st, getJSON(e.ops+"/status", &st)
}

func agentStatus(a *node) (agent.Status, bool) {
	var st agent.Status
	return st, getJSON(a.ops+"/status", &st)
}

func getJSON(url string, into any) bool {
	res, err := quickClient.Get(url)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into) == nil
}

func (c *cluster) put(url string, v any) {
	c.t.Helper()
	body, _ := json.Marshal(v)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	res, err := quickClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		c.t.Fatalf("PUT %s: status %d", url, res.StatusCode)
	}
}

func (c *cluster) setBox(b store.Box) {
	c.t.Helper()
	c.put(c.platform.url+standin.PathAdminBoxes, b)
}

// removeBox removes a box from the platform's list.
func (c *cluster) removeBox(name string) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodDelete, c.platform.url+standin.PathAdminBoxes+"/"+name, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	res, err := quickClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	res.Body.Close()
}

func (c *cluster) platformFaults(f standin.PlatformFaults) {
	c.t.Helper()
	c.put(c.platform.url+standin.PathFaults, f)
}

func (c *cluster) targetFaults(i int, f standin.TargetFaults) {
	c.t.Helper()
	c.put(c.targets[i].direct+standin.PathFaults, f)
}

// apply applies a declaration with the apply command.
func (c *cluster) apply(declaration string) {
	c.t.Helper()
	file := filepath.Join(c.t.TempDir(), "rackspur.yaml")
	if err := os.WriteFile(file, []byte(declaration), 0o600); err != nil {
		c.t.Fatal(err)
	}
	r := command(c.t, "", "apply", "--platform", c.platform.url, file)
	if r.code != 0 {
		c.t.Fatalf("apply: exit %d: %s", r.code, r.errOut)
	}
}

// starts returns the start logs of all targets.
func (c *cluster) starts() []standin.StartEntry {
	c.t.Helper()
	var all []standin.StartEntry
	for _, target := range c.targets {
		var list []standin.StartEntry
		if !getJSON(target.direct+standin.PathStarts, &list) {
			c.t.Fatalf("no start log of %s", target.name)
		}
		all = append(all, list...)
	}
	return all
}

// startsOf counts the starts of each payload of a job.
func (c *cluster) startsOf(job *api.Job) []int {
	c.t.Helper()
	count := map[string]int{}
	for _, s := range c.starts() {
		count[s.Digest]++
	}
	list := make([]int, len(job.Tasks))
	for i, task := range job.Tasks {
		list[i] = count[standin.Digest(task.Payload)]
	}
	return list
}

// client returns a caller that tries the given entry box first.
func (c *cluster) client(token string, first int) *caller.Client {
	var urls []string
	for i := range c.entries {
		urls = append(urls, c.entries[(first+i)%len(c.entries)].url)
	}
	return caller.New(urls, token)
}

// context returns a context that expires after waitTimeout.
func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

// id returns a fresh id.
func (c *cluster) id(client *caller.Client) string {
	c.t.Helper()
	ids, refused, err := client.IDs(c.context(), 1)
	if err != nil || refused != nil {
		c.t.Fatalf("no id: %v %+v", err, refused)
	}
	return ids[0]
}

// jobNumber counts the jobs of newJob and makes each one's payloads unique.
var jobNumber atomic.Int64

// newJob returns a job of the kind whose tasks take ms milliseconds each and whose
// payloads differ from those of all other jobs.
func newJob(t testing.TB, kind string, tasks int, ms int) *api.Job {
	number := jobNumber.Add(1)
	job := &api.Job{Kind: kind}
	for i := range tasks {
		payload, _ := json.Marshal(map[string]any{"ms": ms, "of": t.Name(), "job": number, "task": i})
		job.Tasks = append(job.Tasks, api.Task{Payload: payload})
	}
	return job
}

// checkComplete fails the test unless the reply is a complete answer to the job.
func checkComplete(t testing.TB, job *api.Job, r *caller.Reply) {
	t.Helper()
	if r.Answer == nil {
		t.Fatalf("no answer: %+v", r.Problem)
	}
	if wrong := answerProblem(job, r.Answer); wrong != "" {
		t.Fatal(wrong)
	}
}

// answerProblem describes why an answer is not the complete answer to a job, or returns "".
func answerProblem(job *api.Job, a *api.Answer) string {
	if a.Outcome != api.Complete || len(a.Results) != len(job.Tasks) {
		return fmt.Sprintf("outcome %s with %d of %d results", a.Outcome, len(a.Results), len(job.Tasks))
	}
	for i, task := range job.Tasks {
		var result standin.Result
		if err := json.Unmarshal(a.Results[i].Result, &result); err != nil {
			return fmt.Sprintf("result %d: %v", i, err)
		}
		if a.Results[i].Index != i || result.Digest != standin.Digest(task.Payload) {
			return fmt.Sprintf("result %d is that of another task", i)
		}
	}
	return ""
}

// checkOnce fails the test if any task of the job started more than once.
func (c *cluster) checkOnce(job *api.Job) {
	c.t.Helper()
	for i, n := range c.startsOf(job) {
		if n > 1 {
			c.t.Errorf("task %d started %d times", i, n)
		}
	}
}

// checkNever fails the test if any task of the job started.
func (c *cluster) checkNever(job *api.Job) {
	c.t.Helper()
	for i, n := range c.startsOf(job) {
		if n > 0 {
			c.t.Errorf("task %d started %d times although the job was not to run", i, n)
		}
	}
}

// totalStarts returns the number of starts so far.
func (c *cluster) totalStarts() int {
	return len(c.starts())
}

// homeOf returns the index of the agent that is the home of an id.
func (c *cluster) homeOf(text string) int {
	c.t.Helper()
	v, err := id.Parse(text)
	if err != nil {
		c.t.Fatal(err)
	}
	for i, a := range c.agents {
		if a.address == v.Home.String() {
			return i
		}
	}
	c.t.Fatalf("no agent has the address %s", v.Home)
	return -1
}

// awaitIdle waits until no agent that answers has running or waiting tasks.
func (c *cluster) awaitIdle() {
	c.t.Helper()
	waitFor(c.t, "all agents are idle", func() bool {
		for _, a := range c.agents {
			st, ok := agentStatus(a)
			if ok && (st.Load.Running > 0 || st.Load.Waiting > 0) {
				return false
			}
		}
		return true
	})
}

// awaitStarts waits until at least n tasks of a job have started.
func (c *cluster) awaitStarts(job *api.Job, n int) {
	c.t.Helper()
	waitFor(c.t, "tasks of the job start", func() bool {
		started := 0
		for _, k := range c.startsOf(job) {
			started += k
		}
		return started >= n
	})
}

// startsAfter returns the number of tasks of a kind that targets have started after a time.
func (c *cluster) startsAfter(kind string, at time.Time) (n int) {
	c.t.Helper()
	for i := range c.agents {
		for _, s := range c.startLog(i) {
			if s.Kind == kind && s.At.After(at) {
				n++
			}
		}
	}
	return n
}

// startLog returns the start log of one target.
func (c *cluster) startLog(i int) []standin.StartEntry {
	c.t.Helper()
	var list []standin.StartEntry
	if !getJSON(c.targets[i].direct+standin.PathStarts, &list) {
		c.t.Fatalf("no start log of %s", c.targets[i].name)
	}
	return list
}

// checkNoDoubles fails the test if any payload started more than once.
func (c *cluster) checkNoDoubles() {
	c.t.Helper()
	seen := map[string]int{}
	for _, s := range c.starts() {
		seen[s.Digest]++
		if seen[s.Digest] > 1 {
			c.t.Errorf("task %s started %d times", s.Task, seen[s.Digest])
		}
	}
}

// takesWork reports whether an entry box's view has an agent linked and not leaving.
func takesWork(agents []entry.AgentView, address string) bool {
	for _, a := range agents {
		if a.Address == address {
			return a.Linked && !a.Leaving
		}
	}
	return false
}

// digestOf returns the digest of a job's first task.
func digestOf(job *api.Job) string {
	return standin.Digest(job.Tasks[0].Payload)
}
