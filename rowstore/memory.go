package rowstore

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Memory is a Store in memory, for tests and trials on one box. A fault function may refuse
// calls or lose their answers.
type Memory struct {
	mu      sync.Mutex
	rows    map[Key]Row
	version uint64
	history []Row
	// forgotten is the newest version whose changes were dropped.
	forgotten uint64
	changed   chan struct{}
	// lost is closed to make the calls that wait for changes end without an answer.
	lost  chan struct{}
	fault func(call Call) Fault
}

// Call is a kind of call.
type Call string

// The kinds of calls.
const (
	CallTransact Call = "transact"
	CallRead     Call = "read"
	CallChanges  Call = "changes"
)

// Fault is what happens to a call.
type Fault int

// The faults.
const (
	// FaultNone: the call is served.
	FaultNone Fault = iota
	// FaultRefuse: the call is refused and has no effect.
	FaultRefuse
	// FaultLoseAnswer: the call takes effect, its answer is lost.
	FaultLoseAnswer
	// FaultLoseCall: the call has no effect and its connection breaks.
	FaultLoseCall
	// FaultSilent: the call has no effect and is not answered until its context ends.
	FaultSilent
	// FaultLate: the call takes effect up to MaxLate later, if its conditions hold then, and its
	// answer is lost.
	FaultLate
)

// MaxLate is how much later a call with FaultLate takes effect at most.
const MaxLate = 6 * time.Second

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: map[Key]Row{}, changed: make(chan struct{}), lost: make(chan struct{})}
}

// SetFault sets the function that decides the fault of each later call; nil means no faults.
func (m *Memory) SetFault(f func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// LoseWaiting loses the answers of the calls that wait for changes now, as when their
// connections die silently.
func (m *Memory) LoseWaiting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.lost)
	m.lost = make(chan struct{})
}

// DropHistory drops the history of changes.
func (m *Memory) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgotten = m.version
	m.history = nil
}

// awaitFault returns the fault of a call; for FaultSilent it first waits for the end of the
// context.
func (m *Memory) awaitFault(ctx context.Context, c Call) Fault {
	fault := m.faultOf(c)
	if fault == FaultSilent {
		<-ctx.Done()
	}
	return fault
}

func (m *Memory) faultOf(c Call) Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == nil {
		return FaultNone
	}
	return m.fault(c)
}

// Transact implements Store.Transact.
func (m *Memory) Transact(ctx context.Context, t Transaction) (Outcome, error) {
	fault := m.awaitFault(ctx, CallTransact)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch fault {
	case FaultRefuse:
		return Outcome{}, ErrNotDone
	case FaultLoseCall, FaultSilent:
		return Outcome{}, ErrUncertain
	case FaultLate:
		time.AfterFunc(rand.N(MaxLate), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = m.apply(t)
		})
		return Outcome{}, ErrUncertain
	}
	out, err := m.apply(t)
	if fault == FaultLoseAnswer {
		return Outcome{}, ErrUncertain
	}
	return out, err
}

func (m *Memory) apply(t Transaction) (Outcome, error) {
	for _, c := range t.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return m.conflict(t), ErrConflict
		}
	}
	m.version++
	for _, p := range t.Puts {
		row := Row{Key: p.Key, Value: append([]byte(nil), p.Value...), Version: m.version}
		m.rows[p.Key] = row
		m.history = append(m.history, row)
	}
	for _, k := range t.Deletes {
		delete(m.rows, k)
		m.history = append(m.history, Row{Key: k, Version: m.version, Gone: true})
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return Outcome{Version: m.version}, nil
}

func (m *Memory) conflict(t Transaction) Outcome {
	out := Outcome{Version: m.version}
	for _, c := range t.Conditions {
		if row, ok := m.rows[c.Key]; ok {
			out.Current = append(out.Current, row)
		}
	}
	return out
}

// Read implements Store.Read.
func (m *Memory) Read(ctx context.Context, q Query) (Page, error) {
	if m.awaitFault(ctx, CallRead) != FaultNone {
		return Page{}, ErrNotDone
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	page := Page{Version: m.version}
	for k, row := range m.rows {
		if k.Table == q.Table && k.Part == q.Part && k.Name >= q.From && (q.Until == "" || k.Name < q.Until) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Name < page.Rows[j].Name })
	if q.Limit > 0 && len(page.Rows) > q.Limit {
		page.Rows = page.Rows[:q.Limit]
		page.More = true
	}
	return page, nil
}

// Changes implements Store.Changes.
func (m *Memory) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	lost := m.lostChan()
	for {
		if m.awaitFault(ctx, CallChanges) != FaultNone {
			return Page{}, ErrNotDone
		}
		page, changed, err := m.changesNow(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-lost:
			<-ctx.Done()
			return Page{}, ErrNotDone
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return Page{}, ErrNotDone
		}
	}
}

// lostChan returns a channel that is closed when calls waiting now lose their answers.
func (m *Memory) lostChan() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

func (m *Memory) changesNow(table string, after uint64) (Page, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.forgotten {
		return Page{}, nil, ErrHistoryGone
	}
	page := Page{Version: m.version}
	for _, row := range m.history {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, m.changed, nil
}
