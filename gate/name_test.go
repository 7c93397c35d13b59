package gate

import (
	"context"
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
			b.gate.Recall(Description{Life: olderLife, Service: "engine", Capacity: job.Resources{CPU: 16000}})
		},
		"by a heartbeat that was held up": func(b *bench) { b.heartbeat(olderLife, false) },
	}
	for name, give := range names {
		t.Run(name, func(t *testing.T) {
			b := restarted(t, Description{})
			run := testRun("aa", 0, 1)
			b.hold(HoldAnswer{}) // Reads the clock only.
			b.hold(working(run))
			b.gate.Connect(b.now, testOwner, 1, func() {})
			b.states()
			give(b)
			h := b.gate.NextHold(b.now, 0)
			b.now += time.Millisecond
			b.gate.OnHold(b.now, h, Answer{Life: testLife}, HoldAnswer{}, ErrOtherLife)
			if s, told := b.states()[run]; told && s.End != 0 {
				t.Errorf("reported %+v of a run at work", s)
			}
			b.hold(working(run))
			b.heartbeat(testLife, false)
			b.holdOf(testLife)
			if d, known := b.gate.Description(); !known || d.Life != testLife {
				t.Errorf("described as %+v, known %v, want %v", d, known, testLife)
			}
		})
	}
}

// renamedTarget answers as one incarnation until it is renamed.
type renamedTarget struct{ life chan Life }

func (x *renamedTarget) answers(life Life) error {
	current := <-x.life
	x.life <- current
	if life.ID != "" && life.ID != current.ID {
		return ErrOtherLife
	}
	return nil
}

func (x *renamedTarget) Start(_ context.Context, life Life, _ StartCall) (Answer, error) {
	return Answer{ClockMS: 7}, x.answers(life)
}

func (x *renamedTarget) Stop(_ context.Context, life Life, _ StopCall) (Answer, error) {
	return Answer{ClockMS: 7}, x.answers(life)
}

func (x *renamedTarget) Hold(_ context.Context, life Life, _ HoldCall) (Answer, HoldAnswer, error) {
	return Answer{ClockMS: 7}, HoldAnswer{}, x.answers(life)
}

// A description is also published when a waiting heartbeat is applied with an answer to a hold.
func TestDescriptionTakenWithAnswerIsTold(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &renamedTarget{life: make(chan Life, 1)}
	x.life <- testLife
	d := NewDriver(ctx, New(Options{Node: "gate-1", Lease: time.Second, Contact: time.Minute, BestEffortContact: time.Minute}), x, logr.Discard())
	go d.Run(ctx)
	beat := func(life Life) {
		d.Heartbeat(Heartbeat{Life: life, Service: "engine", Capacity: job.Resources{CPU: 1000}, Sequence: 1})
	}
	await := func(life Life) {
		t.Helper()
		select {
		case got := <-d.Described():
			if got.Life != life {
				t.Fatalf("described as %v, want %v", got.Life, life)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%v is never described", life)
		}
	}
	beat(testLife)
	await(testLife)
	until := time.Now().Add(10 * time.Second)
	for link := uint64(1); !d.Connect(testOwner, link, func() {}); link++ {
		if time.Now().After(until) {
			t.Fatal("the target is never known")
		}
	}
	<-x.life
	x.life <- newerLife
	beat(newerLife)
	await(newerLife)
}
