package gate

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/job"
)

// hangingTarget does not answer the first hold after a start until it is released, even if the
// caller cancels the call.
type hangingTarget struct {
	release chan struct{}
	hung    atomic.Bool
	ended   atomic.Bool
	clock   atomic.Int64
	run     atomic.Value
}

func (e *hangingTarget) answer() Answer {
	return Answer{ClockMS: e.clock.Add(1), Incarnation: testIncarnation}
}

func (e *hangingTarget) Start(_ context.Context, _ Incarnation, c StartCall) (Answer, error) {
	e.run.Store(c.Name)
	e.ended.Store(true)
	return e.answer(), nil
}

func (e *hangingTarget) Stop(context.Context, Incarnation, StopCall) (Answer, error) {
	return e.answer(), nil
}

func (e *hangingTarget) Hold(_ context.Context, _ Incarnation, c HoldCall) (Answer, HoldAnswer, error) {
	if e.ended.Load() && e.hung.CompareAndSwap(false, true) {
		<-e.release
		return Answer{}, HoldAnswer{}, ErrUnanswered
	}
	if !e.ended.Load() || c.Seen > 0 {
		return e.answer(), HoldAnswer{}, nil
	}
	return e.answer(), HoldAnswer{Finished: []Ended{{Number: 1, Name: e.run.Load().(job.RunName), Kind: EndDone}}}, nil
}

// A hanging hold does not delay the report of an end: another hold is sent in parallel.
func TestHoldBesideHungOne(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &hangingTarget{release: make(chan struct{})}
	defer close(e.release)
	g := New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: time.Minute, BestEffortContactTimeout: time.Minute})
	d := NewDriver(ctx, g, e, logr.Discard())
	go d.Run(ctx)
	d.Heartbeat(Heartbeat{Incarnation: testIncarnation, Service: "engine", Capacity: job.Resources{CPU: 1000}, Sequence: 1})
	wake := make(chan struct{}, 1)
	until := time.Now().Add(30 * time.Second)
	for !d.Connect(testOwner, 1, func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	}) && time.Now().Before(until) {
		<-time.After(time.Millisecond)
	}
	name := testRun("aa", 0, 1)
	d.Frame(testOwner, 1, OwnerFrame{Echo: time.Hour, DurableEcho: time.Hour, Sequence: 1, Starts: []Order{{Name: name, Need: job.Resources{CPU: 1}}}})
	for time.Now().Before(until) {
		f, _ := d.Flush(testOwner, 1)
		for _, s := range f.States {
			if s.Name == name && s.End == EndDone {
				return
			}
		}
		select {
		case <-wake:
		case <-time.After(time.Second):
		}
	}
	t.Error("the end was never reported")
}
