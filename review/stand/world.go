// Program stand plays the scripts of the third review: it starts the programs of the deploy file as
// processes on loopback addresses, with stand-ins of the store, the executors and the clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
	"rackspur/rowstore"
)

// Names of the configuration.
const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
)

// Figures of a small deployment, as the users' sheets and examples of settings give them.
const (
	beatEvery     = 1500 * time.Millisecond
	rowBytes      = 65536
	maxBodyBytes  = 262144
	executorConns = 64
	executorCPU   = 16000
	usualCPU      = 1600
	roomSwap      = 2
	finish        = 14 * time.Second
	entryMemoryMB = 284
	agentMemoryMB = 152
)

// Ports of each machine, which has an address of its own.
type ports struct{ front, readiness, control, internal int }

// options are what a script chooses for its deployment.
type options struct {
	entries, agents int
	// need is what each run uses at its executor: a start does not carry it.
	need job.Resources
	// work returns how long a run takes and how it ends.
	work func(job.RunName) (time.Duration, gate.EndKind)
}

// outage is a span of time in which a machine had no executor; until is zero while it lasts.
type outage struct{ from, until time.Time }

// world is a deployment with its stand-ins.
type world struct {
	options
	trouble  bool
	started  time.Time
	dir      string
	ports    ports
	network  string
	store    *rowstore.Memory
	storeURL string
	entries  []*machine
	agents   []*machine

	mu     sync.Mutex
	record *os.File
	ends   []func()
	// watches are ended before everything else, so that nothing is started any more.
	watches []func()
	// tooLarge counts the transactions that the store has refused since a value was too large.
	tooLarge int
	largest  int
	// needs has the CPU of the tasks of jobs that need another than usual.
	needs map[job.ID]int
}

// machine is a machine with its process and, at an agent, its executor.
type machine struct {
	name, ip string
	settings string
	args     []string
	cmd      *exec.Cmd
	exited   chan struct{}
	port     *standin.ExecutorPort
	// app is the address of the executor, server what serves there.
	app    string
	server *http.Server
	// former are the executors that have crashed.
	former []*standin.Executor
	// down are the times at which an executor crashed, and at which the next one was there.
	down []outage
}

// logf writes a line to record.txt.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd has a function called when the script ends.
func (w *world) atEnd(f func()) { w.ends = append(w.ends, f) }

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, end := range w.watches {
		end()
	}
	for i := len(w.ends) - 1; i >= 0; i-- {
		w.ends[i]()
	}
}

// errCannotRun is returned if the case can't run.
var errCannotRun = errors.New("the case can't run")

// newWorld starts a deployment and waits until its entries are ready.
func newWorld(record *os.File, trouble bool, o options) (*world, error) {
	w := &world{options: o, trouble: trouble, started: time.Now(), record: record, store: rowstore.NewMemory(), needs: map[job.ID]int{}}
	current.Store(w)
	dir, err := os.MkdirTemp("", "stand-")
	if err != nil {
		return w, err
	}
	w.dir = dir
	w.atEnd(func() { os.RemoveAll(dir) })
	w.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
	if err := w.choosePorts(); err != nil {
		return w, err
	}
	if err := w.serveStore(); err != nil {
		return w, err
	}
	if err := w.configure(); err != nil {
		return w, err
	}
	for i := range o.agents {
		if err := w.addAgent(i); err != nil {
			return w, err
		}
	}
	for i := range o.entries {
		if err := w.addEntry(i); err != nil {
			return w, err
		}
	}
	return w, w.awaitReady(20 * time.Second)
}

// choosePorts finds four ports that are free.
func (w *world) choosePorts() error {
	var free [4]int
	for i := range free {
		l, err := net.Listen("tcp", w.network+".250:0")
		if err != nil {
			return err
		}
		defer l.Close()
		free[i] = l.Addr().(*net.TCPAddr).Port
	}
	w.ports = ports{free[0], free[1], free[2], free[3]}
	return nil
}

// serveStore serves the platform's store on a free port.
func (w *world) serveStore() error {
	l, err := net.Listen("tcp", w.network+".250:0")
	if err != nil {
		return err
	}
	w.storeURL = l.Addr().String()
	s := &http.Server{Handler: w.storeHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	w.atEnd(func() { _ = s.Close() })
	return nil
}

// listen serves the executor of a machine at its address. It accepts 64 connections at a time.
func (m *machine) listen() error {
	l, err := net.Listen("tcp", m.app)
	if err != nil {
		return err
	}
	m.app = l.Addr().String()
	m.server = m.port.Server()
	m.server.Handler = boundedLists(m.server.Handler)
	bounded := &boundedListener{Listener: l, free: make(chan struct{}, executorConns)}
	go func(s *http.Server) { _ = s.Serve(bounded) }(m.server)
	return nil
}

// hangUp ends what listen has begun: connections to the address are refused.
func (m *machine) hangUp() { _ = m.server.Close() }

// boundedListener accepts a connection only while fewer than cap(free) are open.
type boundedListener struct {
	net.Listener
	free chan struct{}
}

// Accept implements net.Listener.Accept. Once the listener is closed it may wait for ever.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.free <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &boundedConn{Conn: c, free: l.free}, nil
}

type boundedConn struct {
	net.Conn
	free chan struct{}
	once sync.Once
}

// Close implements net.Conn.Close.
func (c *boundedConn) Close() error {
	c.once.Do(func() { <-c.free })
	return c.Conn.Close()
}

// storeHandler is the platform's store. It takes no value of more than row_bytes.
func (w *world) storeHandler() http.Handler {
	next := standin.RowsHandler(w.store)
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/v1/rows-get" {
			w.readRows(rw, req)
			return
		}
		if req.Method != http.MethodPost {
			next.ServeHTTP(rw, req)
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, 4<<20))
		if err != nil {
			return
		}
		var tx struct {
			Put []struct {
				Table string `json:"table"`
				Key   string `json:"tlsKey"`
				Value []byte `json:"value"`
			} `json:"put"`
		}
		if json.Unmarshal(body, &tx) == nil {
			for _, p := range tx.Put {
				w.noteValue(p.Table, p.Key, len(p.Value))
				if len(p.Value) > rowBytes {
					http.Error(rw, "value of more than row_bytes", http.StatusBadRequest)
					return
				}
			}
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(rw, req)
	})
}

// Bounds of a page of rows.
const (
	pageRows  = 500
	pageBytes = 1 << 20
)

// wireRow is a row in an answer of the store.
type wireRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tlsKey"`
	Value []byte `json:"value"`
	Ver   uint64 `json:"ver"`
}

// readRows answers with a page of rows: at most 500 or 1 MB.
func (w *world) readRows(rw http.ResponseWriter, req *http.Request) {
	v := req.URL.Query()
	limit, err := strconv.Atoi(v.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	page, err := w.store.Read(req.Context(), rowstore.Query{Table: v.Get("table"), Part: v.Get("part"), From: v.Get("from"), Until: v.Get("targetVersion"), Limit: limit})
	if err != nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := struct {
		Rows  []wireRow `json:"rows"`
		More  bool      `json:"more"`
		Ver   uint64    `json:"ver"`
		NowMS int64     `json:"now_ms"`
	}{Rows: []wireRow{}, More: page.More, Ver: page.Version, NowMS: time.Since(w.started).Milliseconds()}
	size := 0
	for _, r := range page.Rows {
		if size += 4*len(r.Value)/3 + 200; size > pageBytes && len(answer.Rows) > 0 {
			answer.More = true
			break
		}
		answer.Rows = append(answer.Rows, wireRow{Table: r.Table, Part: r.Part, Key: r.Name, Value: r.Value, Ver: r.Version})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(answer)
}

// noteValue records a value that the store is to keep.
func (w *world) noteValue(table, key string, size int) {
	w.mu.Lock()
	w.largest = max(w.largest, size)
	first := false
	if size > rowBytes {
		w.tooLarge++
		first = w.tooLarge == 1
	}
	w.mu.Unlock()
	if first {
		w.logf("store: refused a transaction (400): a value of %d bytes for %s/%s, row_bytes is %d", size, table, key, rowBytes)
	}
}

// refusedValues returns how many transactions the store has refused since a value was too large, and
// the size of the largest value.
func (w *world) refusedValues() (times, largest int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tooLarge, w.largest
}

// configure writes the operator's configuration.
func (w *world) configure() error {
	value := fmt.Sprintf(`{"version":3,"routes":[{"name":"q","host":%q,"pathPrefix":%q,"timeoutMs":3000,"targetLatencyMs":60,"priority":1,"service":%q,"attempts":4,"stretch":1.6}],"services":[{"name":%q,"enforcesCapacity":true}],"limits":{"maxBodyBytes":%d,"maxHeaderBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		host, prefix, service, service, maxBodyBytes)
	_, err := w.store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{{Key: rowstore.Key{Table: "op", Name: "config"}, Value: []byte(value)}}})
	return err
}

// settings writes the settings file of a machine.
func (w *world) settings(m *machine, class, app string, memoryMB int) error {
	at := func(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }
	s := map[string]any{
		"node": m.name, "role": class, "class": class, "ip": m.ip, "zone": "lhr-a", "region": "lahore", "zones": map[string]string{"lhr-a": "lahore"},
		"listen":        map[string]string{"front": at(w.ports.front), "readiness": at(w.ports.readiness), "control": at(w.ports.control)},
		"internalPorts": []int{w.ports.internal, w.ports.internal}, "seeds": []string{fmt.Sprintf("%s.1:%d", w.network, w.ports.control)},
		"bootstrap": true, "discovery": "local", "heartbeatMs": beatEvery.Milliseconds(), "commands": "dispatch",
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "recoveryS": 12, "maxHoldMs": 1000,
			"stopMs": 50, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "leaseMs": 3000, "retransmitMs": 1300,
		},
		"platform": map[string]any{"address": w.storeURL, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 3.0, "part_writes_per_s": 300, "row_bytes": rowBytes, "across": true, "historyS": 20},
	}
	if app != "" {
		s["app"], s["service"] = app, service
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(w.dir, m.name+".json")
	return os.WriteFile(m.settings, b, 0o600)
}

// addAgent starts an executor and the agent beside it.
func (w *world) addAgent(i int) error {
	m := &machine{name: fmt.Sprintf("side-%d", i), ip: fmt.Sprintf("%s.%d", w.network, 100+i)}
	m.port = &standin.ExecutorPort{Need: w.need, Service: service}
	e := standin.NewExecutor(fmt.Sprintf("i-%d", i), job.Resources{CPU: executorCPU, Memory: 32768}, w.work)
	e.StopTime = 20 * time.Millisecond
	m.port.SetExecutor(e)
	m.app = m.ip + ":0"
	if err := m.listen(); err != nil {
		return err
	}
	w.atEnd(m.hangUp)
	if err := w.settings(m, "side", m.app, agentMemoryMB); err != nil {
		return err
	}
	w.agents = append(w.agents, m)
	if err := w.start(m, "agent"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.atEnd(cancel)
	go m.port.SendHeartbeats(ctx, net.JoinHostPort(m.ip, strconv.Itoa(w.ports.control)), beatEvery)
	return nil
}

// addEntry starts an entry.
func (w *world) addEntry(i int) error {
	m := &machine{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("%s.%d", w.network, 1+i)}
	if err := w.settings(m, "edge", "", entryMemoryMB); err != nil {
		return err
	}
	w.entries = append(w.entries, m)
	return w.start(m, "entry")
}

// command returns the command of a role in the deploy file.
func command(role string) ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	inRole := false
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles."+role+"]"
		}
		if rest, ok := strings.CutPrefix(line, `run = "`); ok && inRole {
			return strings.Fields(strings.TrimSuffix(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no role %s in the deploy file", role)
}

// start starts the process of a machine.
func (w *world) start(m *machine, role string) error {
	args, err := command(role)
	if err != nil {
		return err
	}
	m.args = args
	out, err := os.Create(filepath.Join(w.dir, m.name+".log"))
	if err != nil {
		return err
	}
	m.cmd = exec.Command(args[0], args[1:]...)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "RACKSPUR_SETTINGS=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), m.cmd
	m.exited = exited
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(exited)
	}()
	w.atEnd(func() {
		_ = cmd.Process.Kill()
		<-exited
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = exec.Command("cp", out.Name(), keep).Run()
		}
	})
	return nil
}

// hasExited reports whether the process of a machine has ended.
func (m *machine) hasExited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(most time.Duration) error {
	deadline := time.Now().Add(most)
	for _, m := range w.entries {
		for !w.ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

var quick = &http.Client{Timeout: time.Second}

// ready reports whether an entry says that it is ready.
func (w *world) ready(m *machine) bool {
	r, err := quick.Get(fmt.Sprintf("http://%s:%d/v1/ready", m.ip, w.ports.readiness))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// newID returns a new id of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// clients keep their connections.
var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends a client's request to an entry. Status 0 means that there was no answer in time.
func (w *world) call(m *machine, method, rest string, body []byte, deadline time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", m.ip, w.ports.front, prefix, rest), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Rackspur-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	r, err := clients.Do(req)
	if err != nil {
		return 0, "no answer"
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, "broken answer"
	}
	return r.StatusCode, strings.TrimSpace(string(b))
}

// state returns the state in an answer.
func state(answer string) string {
	var a struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(answer), &a) != nil {
		return ""
	}
	return a.State
}

// spans returns all runs at all executors.
func (w *world) spans() []standin.Span {
	var all []standin.Span
	for _, m := range w.agents {
		for _, e := range m.former {
			all = append(all, e.Journal()...)
		}
		all = append(all, m.port.Executor().Journal()...)
	}
	return all
}

// maxListedEnds is how many ends an executor lists at once.
const maxListedEnds = 500

// boundedLists cuts the lists of ends in the answers of an executor.
func boundedLists(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/v1/hold" {
			next.ServeHTTP(rw, req)
			return
		}
		rec := &recorder{header: http.Header{}, status: http.StatusOK}
		next.ServeHTTP(rec, req)
		b := rec.body.Bytes()
		var a map[string]json.RawMessage
		var ends []json.RawMessage
		if json.Unmarshal(b, &a) == nil && json.Unmarshal(a["finished"], &ends) == nil && len(ends) > maxListedEnds {
			a["finished"], _ = json.Marshal(ends[:maxListedEnds])
			b, _ = json.Marshal(a)
		}
		for name, values := range rec.header {
			rw.Header()[name] = values
		}
		rw.WriteHeader(rec.status)
		_, _ = rw.Write(b)
	})
}

// recorder keeps an answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.Header.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.WriteHeader.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.Write.
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

// setNeed notes what the tasks of a job need.
func (w *world) setNeed(id string, cpu int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.needs[job.ID(id)] = cpu
}

// needOf returns the CPU that a task of a job needs.
func (w *world) needOf(id job.ID) int {
	if cpu, ok := w.needs[id]; ok {
		return cpu
	}
	return usualCPU
}

// beat sends a heartbeat of an executor at once.
func (w *world) beat(m *machine) {
	if b, ok := m.port.Executor().NextHeartbeat(); ok {
		_ = m.port.SendHeartbeat(context.Background(), net.JoinHostPort(m.ip, strconv.Itoa(w.ports.control)), b)
	}
}
