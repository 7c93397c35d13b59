package test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// targetVariable, if set, makes the test binary serve a target: its value holds targetSettings.
const targetVariable = "RACKSPUR_TEST_TARGET"

// targetSettings are the settings of a target's process.
type targetSettings struct {
	ID string
	// BornAfter is the start time of the former incarnation, in milliseconds.
	BornAfter int64
	// Address is where the target listens, unless it inherits a listening socket.
	Address   string
	Inherited bool
	// Control is where it sends its heartbeats; none are sent if it is empty.
	Control  string
	Capacity job.Resources
	Need     job.Resources
	MaxHold  time.Duration
	Drift    float64
	Speed    float64
	// Endless makes runs take an hour instead of platformWork's duration.
	Endless bool
}

// targetCommand is a line on the standard input of a target's process.
type targetCommand struct {
	// Serve starts the incarnation.
	Serve bool `json:",omitempty"`
	// Faults replaces the faults of calls.
	Faults *targetFaults `json:",omitempty"`
	Speed  float64       `json:",omitempty"`
	Drain  bool          `json:",omitempty"`
	// Leave announces the end of the process after a time.
	Leave time.Duration `json:",omitempty"`
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
	Obeyed  bool   `json:",omitempty"`
	Failure string `json:",omitempty"`
}

// targetOrder is a standin.Order with the text of its error.
type targetOrder struct {
	standin.Order
	Err string `json:",omitempty"`
}

// targetFlushInterval is how often a target reports what it has not yet reported with an answer.
const targetFlushInterval = 10 * time.Millisecond

// targetHeartbeatInterval is the time between two heartbeats of a target's process.
const targetHeartbeatInterval = 300 * time.Millisecond

// servedTarget is a target in a process of its own.
type servedTarget struct {
	settings targetSettings
	port     *standin.ExecutorPort

	writeMu sync.Mutex

	flushMu sync.Mutex
	// runs are the reported runs, newestOrder is the time of the newest reported order.
	runs        map[job.RunName]standin.Span
	newestOrder time.Time
}

// serveTarget runs a target until its standard input ends.
func serveTarget(settings string) int {
	s := &servedTarget{runs: map[job.RunName]standin.Span{}}
	if err := json.Unmarshal([]byte(settings), &s.settings); err != nil {
		s.report(targetReport{Failure: err.Error()})
		return 1
	}
	s.port = &standin.ExecutorPort{Need: s.settings.Need, Service: platformService}
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
	if c.Serve {
		return s.serve()
	}
	e := s.port.Executor()
	if e == nil {
		return fmt.Errorf("command %+v before the target serves", c)
	}
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
	return nil
}

// serve starts the incarnation.
func (s *servedTarget) serve() error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	e := standin.NewExecutor(s.settings.ID, s.settings.Capacity, s.work)
	e.Born = max(e.Born, s.settings.BornAfter+1)
	e.MaxHold, e.ClockDrift = s.settings.MaxHold, s.settings.Drift
	e.SetSpeed(s.settings.Speed)
	s.port.SetExecutor(e)
	s.report(targetReport{Born: e.Born})
	server := s.port.Server()
	server.Handler = s.reportBeforeAnswer(server.Handler)
	go func() {
		s.report(targetReport{Failure: server.Serve(listener).Error()})
	}()
	go func() {
		for range time.Tick(targetFlushInterval) {
			s.flush()
		}
	}()
	if s.settings.Control != "" {
		go s.port.SendHeartbeats(context.Background(), s.settings.Control, targetHeartbeatInterval)
	}
	return nil
}

func (s *servedTarget) listen() (net.Listener, error) {
	if !s.settings.Inherited {
		return net.Listen("tcp", s.settings.Address)
	}
	// The first of exec.Cmd.ExtraFiles.
	f := os.NewFile(3, "listener")
	defer f.Close()
	return net.FileListener(f)
}

// work reports each run before it starts.
func (s *servedTarget) work(n job.RunName) (time.Duration, gate.EndKind) {
	e := s.port.Executor()
	s.report(targetReport{Run: &standin.Span{Name: n, Life: e.Life, Born: e.Born, Started: time.Now()}})
	if s.settings.Endless {
		return time.Hour, gate.EndDone
	}
	return platformWork(n)
}

// reportBeforeAnswer returns a handler that answers a call once all its effects are reported.
func (s *servedTarget) reportBeforeAnswer(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, req)
		s.flush()
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// flush reports the runs and orders that have changed since the last flush.
func (s *servedTarget) flush() {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	e := s.port.Executor()
	for _, run := range e.Journal() {
		if s.runs[run.Name] != run {
			s.runs[run.Name] = run
			s.report(targetReport{Run: &run})
		}
	}
	for _, o := range e.Orders() {
		if !o.At.After(s.newestOrder) {
			continue
		}
		s.newestOrder = o.At
		reported := targetOrder{Order: o}
		if o.Err != nil {
			reported.Err = o.Err.Error()
		}
		reported.Order.Err = nil
		s.report(targetReport{Order: &reported})
	}
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
	random := rand.New(rand.NewPCG(f.Seed, f.Seed))
	var mu sync.Mutex
	s.port.SetCallFaults(func(kind string) standin.CallFault {
		fault := standin.CallFault{Unanswered: f.All, Late: f.Late}
		if !f.All && kind != standin.OrderHold {
			mu.Lock()
			fault = orderOutcome(f.Seed, random.Uint64())
			mu.Unlock()
		}
		if fault.Unanswered {
			s.report(targetReport{Received: kind})
		}
		return fault
	})
}
