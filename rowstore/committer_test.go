package rowstore

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

// startCommitter returns a store with a fence row and a running committer.
func startCommitter(t *testing.T, fenced func()) (*Memory, *Committer) {
	m := NewMemory()
	fence := Key{Table: "fences", Part: "p0", Name: "life"}
	out, err := m.Transact(context.Background(), Transaction{Puts: []Put{{Key: fence, Value: []byte("x")}}})
	if err != nil {
		t.Fatal(err)
	}
	c := NewCommitter(m, Condition{Key: fence, Version: out.Version}, 0, fenced)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return m, c
}

type outcome struct {
	Outcome
	err error
}

// insert writes a row that does not exist; the channel receives the outcome.
func insert(c *Committer, name, value string, giveUp bool) <-chan outcome {
	key := Key{Table: "jobs", Part: "p0", Name: name}
	done := make(chan outcome, 1)
	c.Add(&Write{
		GiveUp:      giveUp,
		Transaction: Transaction{Conditions: []Condition{{Key: key}}, Puts: []Put{{Key: key, Value: []byte(value)}}},
		Done:        func(out Outcome, err error) { done <- outcome{out, err} },
	})
	return done
}

func TestCommitterConflict(t *testing.T) {
	_, c := startCommitter(t, func() {})
	if o := <-insert(c, "a", "1", true); o.err != nil {
		t.Fatal(o.err)
	}
	second, third := insert(c, "a", "2", true), insert(c, "b", "3", true)
	if o := <-second; !errors.Is(o.err, ErrConflict) || len(o.Current) != 1 {
		t.Errorf("second insert: %+v", o)
	}
	if o := <-third; o.err != nil {
		t.Errorf("a write beside one in conflict: %v", o.err)
	}
}

// A write whose answer was lost is found to have taken effect, not to conflict.
func TestCommitterLostAnswer(t *testing.T) {
	m, c := startCommitter(t, func() {})
	var calls atomic.Int32
	m.SetFault(func(call Call) Fault {
		if call == CallTransact && calls.Add(1) == 1 {
			return FaultLoseAnswer
		}
		return FaultNone
	})
	if o := <-insert(c, "a", "1", true); o.err != nil || o.Version == 0 {
		t.Errorf("outcome %+v", o)
	}
}

// A refused insert fails only if no earlier call may still take effect.
func TestCommitterRefused(t *testing.T) {
	m, c := startCommitter(t, func() {})
	m.SetFault(func(Call) Fault { return FaultRefuse })
	if o := <-insert(c, "a", "1", true); !errors.Is(o.err, ErrNotDone) {
		t.Errorf("outcome %+v, want not done", o)
	}
	if c.FailingFor(time.Now().Add(time.Second)) <= 0 {
		t.Error("not failing while every call is refused")
	}
	var calls atomic.Int32
	m.SetFault(func(Call) Fault {
		switch calls.Add(1) {
		case 1:
			return FaultLoseCall
		case 2:
			return FaultRefuse
		}
		return FaultNone
	})
	if o := <-insert(c, "b", "1", true); o.err != nil {
		t.Errorf("outcome %+v; it was given up though an earlier call was uncertain", o)
	}
}

func TestCommitterFenced(t *testing.T) {
	fenced := make(chan struct{}, 10)
	m, c := startCommitter(t, func() { fenced <- struct{}{} })
	if _, err := m.Transact(context.Background(), Transaction{Deletes: []Key{{Table: "fences", Part: "p0", Name: "life"}}}); err != nil {
		t.Fatal(err)
	}
	insert(c, "a", "1", true)
	select {
	case <-fenced:
	case <-time.After(30 * time.Second):
		t.Fatal("the fence was not reported")
	}
	if _, ok, _ := ReadOne(context.Background(), m, Key{Table: "jobs", Part: "p0", Name: "a"}); ok {
		t.Error("written though the fence is gone")
	}
}

func TestMemoryChanges(t *testing.T) {
	m := NewMemory()
	key := Key{Table: "t", Part: "p", Name: "a"}
	first, _ := m.Transact(context.Background(), Transaction{Puts: []Put{{Key: key, Value: []byte("1")}}})
	if _, err := m.Transact(context.Background(), Transaction{Deletes: []Key{key}}); err != nil {
		t.Fatal(err)
	}
	page, err := m.Changes(context.Background(), "t", first.Version, time.Second)
	if err != nil || len(page.Rows) != 1 || !page.Rows[0].Gone {
		t.Errorf("changes %+v, %v", page, err)
	}
	m.DropHistory()
	if _, err := m.Changes(context.Background(), "t", first.Version, 0); !errors.Is(err, ErrHistoryGone) {
		t.Errorf("error %v, want the history gone", err)
	}
}
