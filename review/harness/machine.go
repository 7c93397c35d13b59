package main

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Commands of the deploy file.
var (
	entryCommand = []string{"target/rackspur", "platform", "entry", "--log-format", "json", "--placement", "speed", "--load-view", "shared", "--shares", "fair", "--retry-after-max", "10s"}
	agentCommand = []string{"target/rackspur", "platform", "agent", "--log-format", "json", "--leaving", "move"}
)

// machine is a machine with one process of rackspur; an agent's has an executor and a proxy
// through which other machines reach it.
type machine struct {
	world                 *world
	node, role, class, ip string
	settings              string
	command               []string

	// busy is held by a disruption of the process.
	busy sync.Mutex

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}

	target *target
	proxy  *proxy
}

// startEntry starts an entry.
func (w *world) startEntry(i int) (*machine, error) {
	m := &machine{world: w, node: fmt.Sprintf("edge-lhr-a-%d", i+1), role: "entry", class: "edge", ip: w.ip(1 + i), command: entryCommand}
	return m, m.begin()
}

// startAgent starts an executor and the agent beside it. Other machines reach the agent through
// a proxy.
func (w *world) startAgent(i int, p agentPlan) (*machine, error) {
	m := &machine{world: w, node: fmt.Sprintf("side-lhr-a-%d", i+1), role: "agent", class: "side", ip: w.ip(firstAgent + i)}
	var err error
	if m.proxy, err = newProxy(w, address(m.ip, proxyPort), address(m.ip, internalPort)); err != nil {
		return m, err
	}
	m.command = append(append([]string(nil), agentCommand...), "--advertise", address(m.ip, proxyPort))
	if m.target, err = newTarget(w, m, p); err != nil {
		return m, err
	}
	if err := m.begin(); err != nil {
		return m, err
	}
	go m.target.sendHeartbeats()
	return m, nil
}

func (m *machine) begin() error {
	m.settings = m.world.path(m.node + ".json")
	if err := m.world.settings(m); err != nil {
		return err
	}
	return m.start()
}

// start starts the machine's process.
func (m *machine) start() error {
	out, err := os.OpenFile(m.world.path(m.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(m.command[0], m.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RACKSPUR_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.world.log.add("fault", "%s is killed", m.node)
	m.end()
}

// end ends the process.
func (m *machine) end() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
		}
	}
}

// restart starts the process again after it has ended, as the platform does.
func (m *machine) restart() error {
	m.world.log.add("fault", "%s is started again", m.node)
	return m.start()
}
