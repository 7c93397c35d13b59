package rowstore

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// Required bounds for the smallest deployments: a follower that has had contact for
// contactBound must know a change applyBound after it was made.
const (
	applyBound   = 2 * time.Second
	contactBound = 3 * time.Second
)

// followed is what a follower has received.
type followed struct {
	mu        sync.Mutex
	value     string
	confirmed time.Time
}

func (f *followed) set(value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = value
}

func (f *followed) confirm(at time.Time, _ uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = at
}

func (f *followed) state() (value string, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value, f.confirmed
}

var followedKey = Key{Table: "op", Name: "config"}

// startFollower follows the row of followedKey.
func startFollower(ctx context.Context, s Store) *followed {
	f := &followed{}
	follower := newFollower(s, f)
	go follower.Run(ctx)
	return f
}

// newFollower returns a follower of the row of followedKey.
func newFollower(s Store, f *followed) *Follower {
	return &Follower{
		Store: s, Table: followedKey.Table, Confirmed: f.confirm, Log: logr.Discard(),
		Change: func(row Row) { f.set(string(row.Value)) },
	}
}

// silentFault leaves every call without an answer.
func silentFault(Call) Fault { return FaultSilent }

// The store repeatedly stops answering for a while, and calls that wait at that moment never
// get an answer. Once it has answered again for contactBound, the follower's knowledge is
// never older than applyBound.
func TestFollowerAfterSilence(t *testing.T) {
	for _, length := range []time.Duration{50 * time.Millisecond, 6 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFollowerThroughSilence(t, length) })
		})
	}
}

func testFollowerThroughSilence(t *testing.T, length time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := NewMemory()
	f := startFollower(ctx, m)
	const rounds, seconds = 5, 30
	for round := range rounds {
		m.LoseWaiting()
		m.SetFault(silentFault)
		time.Sleep(length)
		m.SetFault(nil)
		calm := time.Now()
		for second := range seconds {
			change(t, m, fmt.Sprintf("%d.%d", round, second))
			time.Sleep(time.Second)
			_, confirmed := f.state()
			if age := time.Since(confirmed); time.Since(calm) >= contactBound+applyBound && age > applyBound {
				t.Fatalf("round %d, %v after the silence: the follower's knowledge is %v old", round, time.Since(calm), age)
			}
		}
		time.Sleep(applyBound)
		if got, _ := f.state(); got != fmt.Sprintf("%d.%d", round, seconds-1) {
			t.Fatalf("round %d: %q is known", round, got)
		}
	}
}

// change writes the followed value.
func change(t *testing.T, m *Memory, value string) {
	t.Helper()
	if _, err := m.Transact(t.Context(), Transaction{Puts: []Put{{Key: followedKey, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// limitedChanges returns few changes at once, but the newest version.
type limitedChanges struct{ *Memory }

func (s limitedChanges) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	page, err := s.Memory.Changes(ctx, table, after, wait)
	const most = 2
	if len(page.Rows) > most {
		page.Rows, page.More = page.Rows[:most], true
	}
	return page, err
}

// Changes beyond the first page are not skipped.
func TestFollowerOfShortFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := NewMemory()
		f := startFollower(ctx, limitedChanges{m})
		time.Sleep(time.Second)
		// The follower gets no answer while five changes are made.
		m.SetFault(silentFault)
		m.LoseWaiting()
		time.Sleep(time.Millisecond)
		m.SetFault(nil)
		for i := range 5 {
			change(t, m, fmt.Sprint(i))
		}
		time.Sleep(contactBound + applyBound)
		if got, _ := f.state(); got != "4" {
			t.Errorf("%q is known, want the newest value", got)
		}
	})
}

// A follower with BatchDelay handles a first change at once, and those that follow closely with
// few calls.
func TestFollowerGathers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := NewMemory()
		var calls atomic.Int32
		m.SetFault(func(c Call) Fault {
			if c == CallChanges {
				calls.Add(1)
			}
			return FaultNone
		})
		f := &followed{}
		follower := newFollower(m, f)
		follower.Wait = 2 * time.Second
		follower.BatchDelay = 250 * time.Millisecond
		go follower.Run(ctx)
		time.Sleep(time.Second)
		calls.Store(0)
		change(t, m, "first")
		time.Sleep(time.Millisecond)
		if got, _ := f.state(); got != "first" {
			t.Errorf("%q is known right after the first change", got)
		}
		for i := range 290 {
			change(t, m, fmt.Sprint(i))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(follower.BatchDelay)
		if got, _ := f.state(); got != "289" {
			t.Errorf("%q is known, want the newest value", got)
		}
		if n := calls.Load(); n > 4 {
			t.Errorf("%d calls for 291 changes within 0.3 s", n)
		}
		calls.Store(0)
		time.Sleep(20 * time.Second)
		if n := calls.Load(); n > 11 {
			t.Errorf("%d calls in 20 s without changes, want one each %v", n, follower.Wait)
		}
	})
}
