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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rackspur/internal/standin"
	"rackspur/job"
)

// targetProcess is one incarnation of a target, in a process of its own.
type targetProcess struct {
	t        testing.TB
	settings targetSettings
	cmd      *exec.Cmd
	stdin    io.WriteCloser
	stderr   logBuffer
	// done is closed once the process has ended and all its reports are read.
	done chan struct{}

	// commandMu is held by a command, sent counts them.
	commandMu sync.Mutex
	sent      int

	mu      sync.Mutex
	standby bool
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
// The target listens on the address of its settings, or on the socket if there is one.
func prepareTarget(t testing.TB, settings targetSettings, socket *os.File) *targetProcess {
	t.Helper()
	p := &targetProcess{t: t, settings: settings, done: make(chan struct{}), runs: map[job.RunName]standin.Span{}}
	p.settings.Inherited = socket != nil
	encoded, err := json.Marshal(p.settings)
	if err != nil {
		t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(executable)
	p.cmd.Env = append(os.Environ(), targetVariable+"="+string(encoded))
	p.cmd.Stderr = &p.stderr
	if socket != nil {
		p.cmd.ExtraFiles = []*os.File{socket}
	}
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
			p.t.Errorf("target %s: report %q: %v", p.settings.ID, line, err)
			continue
		}
		p.note(r)
	}
	_ = p.cmd.Wait()
}

func (p *targetProcess) note(r targetReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.standby = p.standby || r.Standby
	p.born = max(p.born, r.Born)
	if r.Failure != "" {
		p.t.Errorf("target %s: %s", p.settings.ID, r.Failure)
	}
	if r.Obeyed {
		p.obeyed++
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
		p.t.Errorf("target %s: command %+v: %v", p.settings.ID, c, err)
	}
	p.sent++
	waitFor(p.t, "a target's process has carried out a command", func() bool { return p.ended() || p.obeyedCount() >= p.sent })
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
	waitFor(p.t, "a target's process is ready", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.standby
	})
}

// serve starts the incarnation and returns its start time.
func (p *targetProcess) serve() (born int64) {
	p.t.Helper()
	p.command(targetCommand{Serve: true})
	return p.bornMS()
}

func (p *targetProcess) bornMS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.born
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

// end kills the process at the end of the test and reports data races.
func (p *targetProcess) end() {
	p.kill()
	if text := p.stderr.String(); text != "" {
		p.t.Errorf("target %s wrote:\n%s", p.settings.ID, text)
	}
}

// Orders returns the calls that the incarnation has reported, oldest first.
func (p *targetProcess) Orders() []standin.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]standin.Order(nil), p.orders...)
}

// listeningSocket returns a listening socket on a free loopback address. Processes that inherit it
// accept its connections.
func listeningSocket(t testing.TB) (*os.File, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f, l.Addr().String()
}
