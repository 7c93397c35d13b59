package test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// targetVariable, if set, makes the test binary serve a target once it is told to. The value
// targetInherits says that it inherits a listening socket.
const (
	targetVariable = "RACKSPUR_TEST_TARGET"
	targetInherits = "inherits"
)

// targetSettings are the settings of an incarnation in a process.
type targetSettings struct {
	ID string
	// BornAfter is the start time of the former incarnation, in milliseconds.
	BornAfter int64
	// Address is where the target listens, unless it inherits a listening socket.
	Address string
	// Control is where it sends its heartbeats; none are sent if it is empty.
	Control  string
	Capacity job.Resources
	Need     job.Resources
	MaxHold  time.Duration
	Drift    float64
	Speed    float64
	// Endless makes runs take an hour instead of platformWork's duration.
	Endless bool
	Faults  targetFaults
}

// targetCommand is a line on the standard input of a target's process.
type targetCommand struct {
	// Serve starts an incarnation.
	Serve *targetSettings `json:",omitempty"`
	// Faults replaces the faults of calls.
	Faults *targetFaults `json:",omitempty"`
	Speed  float64       `json:",omitempty"`
	Drain  bool          `json:",omitempty"`
	// Leave announces the end of the process after a time.
	Leave time.Duration `json:",omitempty"`
	// Heartbeat asks for the next heartbeat.
	Heartbeat bool `json:",omitempty"`
}

// targetFaults are the faults of calls to a target's process.
type targetFaults struct {
	// All calls get no answer and are carried out after Late.
	All  bool
	Late time.Duration
	// Seed, if not 0, draws the outcome of each start and stop; see orderOutcome.
	Seed uint64
}

// targetReport is a line on the standard output of a target's process.
type targetReport struct {
	Standby  bool          `json:",omitempty"`
	Born     int64         `json:",omitempty"`
	Run      *standin.Span `json:",omitempty"`
	Order    *targetOrder  `json:",omitempty"`
	Received string        `json:",omitempty"`
	// Obeyed reports that the next command is carried out.
	Obeyed    bool               `json:",omitempty"`
	Heartbeat *standin.Heartbeat `json:",omitempty"`
	Failure   string             `json:",omitempty"`
}

// targetOrder is a standin.Order with the text of its error.
type targetOrder struct {
	standin.Order
	Err string `json:",omitempty"`
}

// targetHeartbeatInterval is the time between two heartbeats of a target's process.
const targetHeartbeatInterval = 300 * time.Millisecond

// servedTarget is a target in a process of its own.
type servedTarget struct {
	inherits bool
	settings targetSettings
	port     *standin.ExecutorPort

	writeMu sync.Mutex
}

// serveTarget obeys the commands on its standard input until that ends.
func serveTarget(inherits bool) int {
	s := &servedTarget{inherits: inherits}
	s.report(targetReport{Standby: true})
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		var c targetCommand
		err := json.Unmarshal(commands.Bytes(), &c)
		if err == nil {
			err = s.obey(c)
		}
		if err != nil {
			s.report(targetReport{Failure: err.Error()})
			return 1
		}
		s.report(targetReport{Obeyed: true})
	}
	return 0
}

func (s *servedTarget) obey(c targetCommand) error {
	if c.Serve != nil {
		return s.serve(*c.Serve)
	}
	if s.port == nil {
		return fmt.Errorf("command %+v before the target serves", c)
	}
	e := s.port.Executor()
	if c.Faults != nil {
		s.setFaults(*c.Faults)
	}
	if c.Speed > 0 {
		e.SetSpeed(c.Speed)
	}
	if c.Drain {
		e.Drain()
	}
	if c.Leave > 0 {
		e.Leave(c.Leave)
	}
	if c.Heartbeat {
		if beat, ok := e.NextHeartbeat(); ok {
			s.report(targetReport{Heartbeat: &beat})
		}
	}
	// Ends the runs that are due.
	e.Journal()
	return nil
}

// serve starts the incarnation.
func (s *servedTarget) serve(settings targetSettings) error {
	s.settings = settings
	s.port = &standin.ExecutorPort{Need: settings.Need, Service: platformService}
	listener, err := s.listen()
	if err != nil {
		return err
	}
	e := standin.NewExecutor(s.settings.ID, s.settings.Capacity, s.work)
	e.Born = max(e.Born, s.settings.BornAfter+1)
	e.MaxHold, e.ClockDrift = s.settings.MaxHold, s.settings.Drift
	e.OnRun, e.OnOrder = s.reportRun, s.reportOrder
	e.SetSpeed(s.settings.Speed)
	s.port.SetExecutor(e)
	s.setFaults(s.settings.Faults)
	s.report(targetReport{Born: e.Born})
	server := s.port.Server()
	go func() {
		s.report(targetReport{Failure: server.Serve(listener).Error()})
	}()
	if s.settings.Control != "" {
		go s.port.SendHeartbeats(context.Background(), s.settings.Control, targetHeartbeatInterval)
	}
	return nil
}

func (s *servedTarget) listen() (net.Listener, error) {
	if !s.inherits {
		return net.Listen("tcp", s.settings.Address)
	}
	// The first of exec.Cmd.ExtraFiles.
	f := os.NewFile(3, "listener")
	defer f.Close()
	return net.FileListener(f)
}

// work returns a run's duration and how it ends.
func (s *servedTarget) work(n job.RunName) (time.Duration, gate.EndKind) {
	if s.settings.Endless {
		return time.Hour, gate.EndDone
	}
	return platformWork(n)
}

func (s *servedTarget) reportRun(run standin.Span) { s.report(targetReport{Run: &run}) }

func (s *servedTarget) reportOrder(o standin.Order) {
	reported := targetOrder{Order: o}
	if o.Err != nil {
		reported.Err = o.Err.Error()
	}
	reported.Order.Err = nil
	s.report(targetReport{Order: &reported})
}

// report writes a line with one system call, so that a kill leaves at most one partial line.
func (s *servedTarget) report(r targetReport) {
	line, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if _, err := os.Stdout.Write(append(line, '\n')); err != nil {
		// Nobody is left to read the reports.
		os.Exit(1)
	}
}

// setFaults replaces the faults of calls. Calls that get no answer are reported as received.
func (s *servedTarget) setFaults(f targetFaults) {
	if !f.All && f.Seed == 0 {
		s.port.SetCallFaults(nil)
		return
	}
	var orders atomic.Uint64
	s.port.SetCallFaults(func(kind string) standin.CallFault {
		fault := standin.CallFault{Unanswered: f.All, Late: f.Late}
		if !f.All && kind != standin.OrderHold {
			fault = orderOutcome(f.Seed, orders.Add(1))
		}
		if fault.Unanswered {
			s.report(targetReport{Received: kind})
		}
		return fault
	})
}
