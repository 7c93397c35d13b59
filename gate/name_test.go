package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/job"
)

// An id under which no call was answered may be wrong, so its rejection does not end the runs
// that were listed before. The id can come from the store or from a delayed heartbeat.
func TestWrongNameEndsNoRuns(t *testing.T) {
	names := map[string]func(b *bench){
		"recalled": func(b *bench) {
			b.gate.RestoreDescription(Description{Incarnation: olderIncarnation, Service: "engine", Capacity: job.Resources{CPU: 16000}})
		},
		"by a heartbeat that was held up": func(b *bench) { b.heartbeat(olderIncarnation, false) },
	}
	for name, give := range names {
		t.Run(name, func(t *testing.T) {
			b := restarted(t, Description{})
			run := testRun("aa", 0, 1)
			b.hold(HoldAnswer{}) // Reads the clock only.
			b.hold(runningLists(run))
			b.gate.Connect(b.now, testOwner, 1, func() {})
			b.states()
			give(b)
			h := b.gate.NextHold(b.now, 0)
			b.now += time.Millisecond
			b.gate.OnHold(b.now, h, Answer{Incarnation: testIncarnation}, HoldAnswer{}, ErrOtherIncarnation)
			if s, told := b.states()[run]; told && s.End != 0 {
				t.Errorf("reported %+v of an active run", s)
			}
			b.hold(runningLists(run))
			b.heartbeat(testIncarnation, false)
			b.holdOf(testIncarnation)
			if d, known := b.gate.Description(); !known || d.Incarnation != testIncarnation {
				t.Errorf("described as %+v, known %v, want %v", d, known, testIncarnation)
			}
		})
	}
}

// renamedTarget answers as one incarnation until it is renamed.
type renamedTarget struct{ incarnation chan Incarnation }

func (x *renamedTarget) answers(incarnation Incarnation) error {
	current := <-x.incarnation
	x.incarnation <- current
	if incarnation.ID != "" && incarnation.ID != current.ID {
		return ErrOtherIncarnation
	}
	return nil
}

func (x *renamedTarget) Start(_ context.Context, incarnation Incarnation, _ StartCall) (Answer, error) {
	return Answer{ClockMS: 7}, x.answers(incarnation)
}

func (x *renamedTarget) Stop(_ context.Context, incarnation Incarnation, _ StopCall) (Answer, error) {
	return Answer{ClockMS: 7}, x.answers(incarnation)
}

func (x *renamedTarget) Hold(_ context.Context, incarnation Incarnation, _ HoldCall) (Answer, HoldAnswer, error) {
	return Answer{ClockMS: 7}, HoldAnswer{}, x.answers(incarnation)
}

// A description is also published when a waiting heartbeat is applied with an answer to a hold.
func TestDescriptionTakenWithAnswerIsTold(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &renamedTarget{incarnation: make(chan Incarnation, 1)}
	x.incarnation <- testIncarnation
	d := NewDriver(ctx, New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: time.Minute, BestEffortContactTimeout: time.Minute}), x, logr.Discard())
	go d.Run(ctx)
	sendHeartbeat := func(incarnation Incarnation) {
		d.Heartbeat(Heartbeat{Incarnation: incarnation, Service: "engine", Capacity: job.Resources{CPU: 1000}, Sequence: 1})
	}
	await := func(incarnation Incarnation) {
		t.Helper()
		select {
		case got := <-d.Described():
			if got.Incarnation != incarnation {
				t.Fatalf("described as %v, want %v", got.Incarnation, incarnation)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%v is never described", incarnation)
		}
	}
	sendHeartbeat(testIncarnation)
	await(testIncarnation)
	until := time.Now().Add(10 * time.Second)
	for link := uint64(1); !d.Connect(testOwner, link, func() {}); link++ {
		if time.Now().After(until) {
			t.Fatal("the target is never known")
		}
	}
	<-x.incarnation
	x.incarnation <- newerIncarnation
	sendHeartbeat(newerIncarnation)
	await(newerIncarnation)
}

// pausedSink is a log sink that waits before it returns from the first message with the given
// text.
type pausedSink struct {
	logr.LogSink
	text            string
	paused, proceed chan struct{}
	reached         atomic.Bool
}

func (s *pausedSink) Init(logr.RuntimeInfo) {}
func (s *pausedSink) Enabled(int) bool      { return true }

func (s *pausedSink) Info(_ int, text string, _ ...any) {
	if text == s.text && s.reached.CompareAndSwap(false, true) {
		close(s.paused)
		<-s.proceed
	}
}

// Of two descriptions that are published at the same time, the later one stays. Otherwise an
// earlier one would be stored for the next process of the agent.
func TestLaterDescriptionStays(t *testing.T) {
	sink := &pausedSink{text: "Description of the target changed.", paused: make(chan struct{}), proceed: make(chan struct{})}
	target := &renamedTarget{incarnation: make(chan Incarnation, 1)}
	d := NewDriver(t.Context(), New(Options{Node: "gate-1", Lease: time.Second}), target, logr.New(sink))
	heartbeat := Heartbeat{Incarnation: testIncarnation, Service: "engine", Capacity: job.Resources{CPU: 1000}, Sequence: 1}
	var first sync.WaitGroup
	first.Go(func() { d.Heartbeat(heartbeat) })
	<-sink.paused
	heartbeat.Sequence = 2
	heartbeat.Draining = true
	d.Heartbeat(heartbeat)
	close(sink.proceed)
	first.Wait()
	if got := <-d.Described(); !got.Draining {
		t.Errorf("published %+v, want the draining one", got)
	}
}
