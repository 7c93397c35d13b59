package test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// targetProcess is one incarnation of a target, in a process of its own.
type targetProcess struct {
	t      testing.TB
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stderr logBuffer
	// done is closed once the process has ended and all its reports are read.
	done chan struct{}

	// commandMu is held by a command, sent counts them.
	commandMu sync.Mutex
	sent      int

	mu       sync.Mutex
	settings targetSettings
	standby  bool
	draining bool
	// heartbeat is the newest one asked for.
	heartbeat *standin.Heartbeat
	// obeyed counts the commands carried out.
	obeyed   int
	born     int64
	received int
	// killed is when the process was killed; its runs end then.
	killed time.Time
	runs   map[job.RunName]standin.Span
	names  []job.RunName
	orders []standin.Order
}

// prepareTarget starts a process that serves a target once serve is called. It ends with the test.
// The target listens on the socket, or, if that is nil, on the address in its settings.
func prepareTarget(t testing.TB, socket *os.File) *targetProcess {
	t.Helper()
	p := &targetProcess{t: t, done: make(chan struct{}), runs: map[job.RunName]standin.Span{}}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(executable)
	value := "listens"
	if socket != nil {
		value = targetInherits
		p.cmd.ExtraFiles = []*os.File{socket}
	}
	p.cmd.Env = append(os.Environ(), targetVariable+"="+value)
	p.cmd.Stderr = &p.stderr
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.read(stdout)
	t.Cleanup(p.end)
	return p
}

// read collects the reports of the process until it ends.
func (p *targetProcess) read(stdout io.Reader) {
	defer close(p.done)
	lines := bufio.NewReader(stdout)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			// A partial line was not followed by an answer.
			break
		}
		var r targetReport
		if err := json.Unmarshal(line, &r); err != nil {
			p.t.Errorf("report %q of a target: %v", line, err)
			continue
		}
		p.note(r)
	}
	_ = p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed.IsZero() {
		p.t.Errorf("target %s exited unexpectedly: %v", p.settings.ID, p.cmd.ProcessState)
	}
}

func (p *targetProcess) note(r targetReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.standby = p.standby || r.Standby
	p.born = max(p.born, r.Born)
	if r.Failure != "" {
		p.t.Errorf("a target failed: %s", r.Failure)
	}
	if r.Obeyed {
		p.obeyed++
	}
	if r.Heartbeat != nil {
		p.heartbeat = r.Heartbeat
	}
	if r.Received != "" {
		p.received++
	}
	if r.Run != nil {
		if _, known := p.runs[r.Run.Name]; !known {
			p.names = append(p.names, r.Run.Name)
		}
		p.runs[r.Run.Name] = *r.Run
	}
	if r.Order != nil {
		o := r.Order.Order
		if r.Order.Err != "" {
			o.Err = errors.New(r.Order.Err)
		}
		p.orders = append(p.orders, o)
	}
}

// command sends a command to the process and waits until it is carried out or the process has
// ended.
func (p *targetProcess) command(c targetCommand) {
	p.t.Helper()
	p.commandMu.Lock()
	defer p.commandMu.Unlock()
	line, err := json.Marshal(c)
	if err != nil {
		p.t.Error(err)
		return
	}
	if _, err := p.stdin.Write(append(line, '\n')); err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrClosed) {
		p.t.Errorf("command %+v to a target: %v", c, err)
	}
	p.sent++
	if !holdsWithin(waitTimeout, func() bool { return p.ended() || p.obeyedCount() >= p.sent }) {
		p.t.Errorf("a target has not carried out the command %+v", c)
	}
}

func (p *targetProcess) obeyedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.obeyed
}

func (p *targetProcess) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ready waits until the process can serve without delay.
func (p *targetProcess) ready() {
	p.t.Helper()
	ready := holdsWithin(waitTimeout, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.standby
	})
	if !ready {
		p.t.Errorf("a target's process is not ready after %v", waitTimeout)
	}
}

// serve starts the incarnation.
func (p *targetProcess) serve(settings targetSettings) {
	p.t.Helper()
	p.mu.Lock()
	p.settings = settings
	p.mu.Unlock()
	p.command(targetCommand{Serve: &settings})
}

// Incarnation implements incarnation.Incarnation.
func (p *targetProcess) Incarnation() gate.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return gate.Incarnation{ID: p.settings.ID, Born: p.born}
}

// next returns the settings of the next incarnation under the same id.
func (p *targetProcess) next() targetSettings {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.settings
	s.BornAfter = p.born
	return s
}

func (p *targetProcess) receivedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received
}

// freeze suspends the process and waits until all its threads are stopped.
func (p *targetProcess) freeze() {
	p.t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	waitFor(p.t, "a target's process is stopped", func() bool { return stopped(p.cmd.Process.Pid) })
}

// stopped reports whether all threads of a process are stopped.
func stopped(pid int) bool {
	tasks := fmt.Sprintf("/proc/%d/task", pid)
	threads, err := os.ReadDir(tasks)
	if err != nil {
		return false
	}
	for _, thread := range threads {
		status, err := os.ReadFile(tasks + "/" + thread.Name() + "/stat")
		if err != nil {
			return false
		}
		// The state follows the command name, which is in parentheses.
		if _, state, _ := strings.Cut(string(status), ") "); !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// kill sends SIGKILL and waits until the process has ended and its reports are read.
func (p *targetProcess) kill() {
	p.mu.Lock()
	if p.killed.IsZero() {
		p.killed = time.Now()
	}
	p.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *targetProcess) killedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// end kills the process at the end of the test and reports data races.
func (p *targetProcess) end() {
	p.kill()
	if text := p.stderr.String(); text != "" {
		p.t.Errorf("a target wrote:\n%s", text)
	}
}

// Journal implements incarnation.Journal.
func (p *targetProcess) Journal() []standin.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	var spans []standin.Span
	for _, name := range p.names {
		s := p.runs[name]
		if s.End == 0 && !p.killed.IsZero() {
			s.End, s.Ended = p.lost(s.Started)
		}
		spans = append(spans, s)
	}
	return spans
}

// lost returns how and when a run ended whose end a killed process has not reported: with the
// process, or before that with its lease. p.mu must be held.
func (p *targetProcess) lost(started time.Time) (gate.EndKind, time.Time) {
	end, ended := gate.EndLost, p.killed
	if n := len(p.orders); n > 0 && p.orders[n-1].Lease.Before(ended) {
		end, ended = gate.EndLapsed, p.orders[n-1].Lease
	}
	if started.After(ended) {
		// It started while the process was being killed.
		ended = started
	}
	return end, ended
}

// NextHeartbeat implements incarnation.NextHeartbeat.
func (p *targetProcess) NextHeartbeat() (standin.Heartbeat, bool) {
	p.command(targetCommand{Heartbeat: true})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heartbeat == nil || !p.killed.IsZero() {
		return standin.Heartbeat{}, false
	}
	return *p.heartbeat, true
}

// Drain implements incarnation.Drain.
func (p *targetProcess) Drain() {
	p.setDraining()
	p.command(targetCommand{Drain: true})
}

func (p *targetProcess) setDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Draining implements incarnation.Draining.
func (p *targetProcess) Draining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// SetSpeed implements incarnation.SetSpeed.
func (p *targetProcess) SetSpeed(speed float64) {
	p.mu.Lock()
	p.settings.Speed = speed
	p.mu.Unlock()
	p.command(targetCommand{Speed: speed})
}

// flush waits until the ends of all runs that are due are reported.
func (p *targetProcess) flush() { p.command(targetCommand{}) }

// setFaults replaces the faults of calls, also of later incarnations.
func (p *targetProcess) setFaults(f targetFaults) {
	p.mu.Lock()
	p.settings.Faults = f
	p.mu.Unlock()
	p.command(targetCommand{Faults: &f})
}

// leave announces the end of the process after a time of the target's clock and kills it then.
// ended is closed after that.
func (p *targetProcess) leave(after time.Duration) (ended <-chan struct{}) {
	p.setDraining()
	p.command(targetCommand{Leave: after})
	p.mu.Lock()
	lasts := time.Duration(float64(after) / (1 - p.settings.Drift))
	p.mu.Unlock()
	done := make(chan struct{})
	time.AfterFunc(lasts, func() {
		p.kill()
		close(done)
	})
	return done
}

// Orders implements incarnation.Orders.
func (p *targetProcess) Orders() []standin.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]standin.Order(nil), p.orders...)
}

// listeningSocket returns a listening socket. Processes that inherit it accept its connections.
func listeningSocket(t testing.TB, address string) *os.File {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

// targetProcesses are the processes of a box's target, one after another.
type targetProcesses struct {
	t testing.TB
	// address is where each listens, on the socket if there is one.
	address string
	socket  *os.File
	current atomic.Pointer[targetProcess]
	// spare is ready to serve, so that a restart takes no longer than intended.
	spare *targetProcess
}

// newTargetProcesses returns a target without a process that serves. Its processes listen on the
// address, on a socket that they share if inherits is set.
func newTargetProcesses(t testing.TB, address string, inherits bool) *targetProcesses {
	s := &targetProcesses{t: t, address: address}
	if inherits {
		s.socket = listeningSocket(t, address)
	}
	s.spare = prepareTarget(t, s.socket)
	return s
}

// start makes the spare process serve. The former one must have ended.
func (s *targetProcesses) start(settings targetSettings) {
	p := s.spare
	p.ready()
	settings.Address = s.address
	p.serve(settings)
	s.current.Store(p)
	s.spare = prepareTarget(s.t, s.socket)
}

// logRestarts logs how long targets that are processes were down before they served again under
// their id.
func (r *soakRun) logRestarts() {
	var downs []time.Duration
	for _, m := range r.agents {
		if m.processes == nil {
			return
		}
		var before *targetProcess
		for _, l := range m.allLives() {
			p := l.(*targetProcess)
			if before != nil && before.Incarnation().ID == p.Incarnation().ID {
				downs = append(downs, time.UnixMilli(p.Incarnation().Born).Sub(before.killedAt()))
			}
			before = p
		}
	}
	slices.Sort(downs)
	r.t.Logf("targets restarted under their id after %v", downs)
}
