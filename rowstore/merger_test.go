package rowstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rackspur/internal/wait"
)

// serialStore makes transactions one by one, each with a latency.
type serialStore struct {
	*Memory
	latency time.Duration
	made    atomic.Int32
	// turn holds a value while a transaction is made.
	turn chan struct{}
}

func newSerialStore(latency time.Duration) *serialStore {
	return &serialStore{Memory: NewMemory(), latency: latency, turn: make(chan struct{}, 1)}
}

func (s *serialStore) Transact(ctx context.Context, t Transaction) (Outcome, error) {
	s.turn <- struct{}{}
	wait.For(context.WithoutCancel(ctx), s.latency)
	<-s.turn
	s.made.Add(1)
	out, err := s.Memory.Transact(ctx, t)
	if ctx.Err() != nil {
		return Outcome{}, ErrUncertain
	}
	return out, err
}

// putFence writes an owner's fence row and returns the condition on it.
func putFence(t *testing.T, s Store, owner string) Condition {
	t.Helper()
	k := Key{Table: "fences", Part: "p", Name: owner}
	out, err := s.Transact(t.Context(), Transaction{Conditions: []Condition{{Key: k}}, Puts: []Put{{Key: k}}})
	if err != nil {
		t.Fatal(err)
	}
	return Condition{Key: k, Version: out.Version}
}

func insertTransaction(name string) Transaction {
	k := Key{Table: "jobs", Part: "p", Name: name}
	return Transaction{Conditions: []Condition{{Key: k}}, Puts: []Put{{Key: k, Value: []byte(name)}}, Merge: true}
}

// The time that a write waits does not grow with the number of owners that write to a part.
func TestMergedWritesWaitTheSameForManyOwners(t *testing.T) {
	for _, owners := range []int{8, 55, 184, 368} {
		t.Run(fmt.Sprint(owners), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rounds = 10
				s := newSerialStore(time.Second / 300)
				m := NewMerger(s)
				var longest atomic.Int64
				var all sync.WaitGroup
				for i := range owners {
					fence := putFence(t, s.Memory, fmt.Sprint(i))
					all.Go(func() {
						c := NewCommitter(m, fence, time.Millisecond, func() { t.Error("fenced") })
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						go c.Run(ctx)
						for round := range rounds {
							wait.For(ctx, time.Duration(rand.IntN(1000))*time.Millisecond)
							began := time.Now()
							done := make(chan error, 1)
							c.Add(&Write{Transaction: insertTransaction(fmt.Sprintf("%d-%d", i, round)), Done: func(_ Outcome, err error) { done <- err }})
							if err := <-done; err != nil {
								t.Error(err)
							}
							longest.Store(max(longest.Load(), int64(time.Since(began))))
						}
					})
				}
				all.Wait()
				// One transaction under way and three full ones.
				if most := time.Duration(longest.Load()); most > 5*s.latency+time.Millisecond {
					t.Errorf("a write has waited for %v", most)
				}
				page, _ := s.Read(t.Context(), Query{Table: "jobs", Part: "p"})
				if len(page.Rows) != owners*rounds {
					t.Errorf("%d rows, want %d", len(page.Rows), owners*rounds)
				}
			})
		})
	}
}

// A conflict affects only the call whose condition failed, and only that call's rows are
// returned to it.
func TestMergedConflictIsItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSerialStore(3 * time.Millisecond)
		m := NewMerger(s)
		if _, err := s.Memory.Transact(t.Context(), insertTransaction("there")); err != nil {
			t.Fatal(err)
		}
		outcomes := map[string]error{}
		var mu sync.Mutex
		var all sync.WaitGroup
		for _, name := range []string{"first", "there", "a", "b", "a"} {
			all.Go(func() {
				out, err := m.Transact(t.Context(), insertTransaction(name))
				mu.Lock()
				defer mu.Unlock()
				if err != nil && (len(out.Current) != 1 || out.Current[0].Name != name) {
					t.Errorf("%s: got the rows %v", name, out.Current)
				}
				outcomes[name] = errors.Join(outcomes[name], err)
			})
			// The first is under way when the others are called.
			wait.For(t.Context(), time.Microsecond)
		}
		all.Wait()
		for name, conflict := range map[string]bool{"first": false, "there": true, "a": true, "b": false} {
			if errors.Is(outcomes[name], ErrConflict) != conflict {
				t.Errorf("%s: %v", name, outcomes[name])
			}
		}
		if n := s.made.Load(); n > 4 {
			t.Errorf("%d transactions", n)
		}
	})
}

// A call that is cancelled before it was sent is never made and returns ErrNotDone; one that
// was sent returns ErrUncertain.
func TestMergedCallThatIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSerialStore(100 * time.Millisecond)
		m := NewMerger(s)
		giveUp := func(name string) error {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := m.Transact(ctx, insertTransaction(name))
			return err
		}
		sent := make(chan error, 1)
		go func() { sent <- giveUp("sent") }()
		wait.For(t.Context(), time.Millisecond)
		if err := giveUp("waits"); !errors.Is(err, ErrNotDone) {
			t.Errorf("waiting call: %v", err)
		}
		if err := <-sent; !errors.Is(err, ErrUncertain) {
			t.Errorf("sent call: %v", err)
		}
		wait.For(t.Context(), time.Second)
		if _, ok, _ := ReadOne(t.Context(), s, insertTransaction("waits").Conditions[0].Key); ok {
			t.Error("a call that returned ErrNotDone took effect")
		}
	})
}

// With a store that refuses calls and loses calls or answers, each write takes effect exactly
// once or its owner learns that it has not.
func TestMergedWritesBesideFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { writeBesideFaults(t, seed) })
		})
	}
}

func writeBesideFaults(t *testing.T, seed uint64) {
	const owners, writes = 12, 30
	s := newSerialStore(3 * time.Millisecond)
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	fences := make([]Condition, owners)
	for i := range fences {
		fences[i] = putFence(t, s.Memory, fmt.Sprint(i))
	}
	s.SetFault(func(Call) Fault {
		faults := []Fault{FaultRefuse, FaultLoseAnswer, FaultLoseCall, FaultSilent}
		if draw(4) > 0 {
			return FaultNone
		}
		return faults[draw(len(faults))]
	})
	m := NewMerger(s)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done, refused := map[string]int{}, map[string]bool{}
	var all sync.WaitGroup
	for i, fence := range fences {
		c := NewCommitter(m, fence, time.Millisecond, func() { t.Error("fenced") })
		go c.Run(ctx)
		for w := range writes {
			all.Add(1)
			name := fmt.Sprintf("%d-%d", i, w)
			c.Add(&Write{Transaction: insertTransaction(name), GiveUp: w%3 == 0, Done: func(_ Outcome, err error) {
				defer all.Done()
				mu.Lock()
				defer mu.Unlock()
				done[name]++
				refused[name] = err != nil
			}})
			wait.For(ctx, time.Duration(draw(20))*time.Millisecond)
		}
	}
	all.Wait()
	s.SetFault(nil)
	wait.For(ctx, 5*time.Second)
	page, err := s.Memory.Read(ctx, Query{Table: "jobs", Part: "p"})
	if err != nil {
		t.Fatal(err)
	}
	stored := map[string]bool{}
	for _, row := range page.Rows {
		stored[row.Name] = true
	}
	for name, n := range done {
		if n != 1 || stored[name] == refused[name] {
			t.Errorf("%s: decided %d times, refused %v, stored %v", name, n, refused[name], stored[name])
		}
	}
	if len(done) != owners*writes {
		t.Errorf("%d of %d writes were decided", len(done), owners*writes)
	}
}
