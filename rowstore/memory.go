package rowstore

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Memory is a Store in memory, for tests and trials on one machine. A fault
// function may turn calls away or lose their answers.
type Memory struct {
	mu      sync.Mutex
	rows    map[Key]Row
	version uint64
	history []Row
	// forgotten is the newest version whose changes are no longer kept.
	forgotten uint64
	changed   chan struct{}
	// lost is closed once the calls that wait for changes are to get no answer.
	lost  chan struct{}
	fault func(call Call) Fault
}

// Call names a kind of call.
type Call string

// The kinds of calls.
const (
	CallTransact Call = "transact"
	CallRead     Call = "read"
	CallChanges  Call = "changes"
)

// Fault says what happens to a call.
type Fault int

// The faults.
const (
	// FaultNone: the call is served.
	FaultNone Fault = iota
	// FaultRefuse: the call is turned away and has no effect.
	FaultRefuse
	// FaultLoseAnswer: the call takes effect, its answer is lost.
	FaultLoseAnswer
	// FaultLoseCall: the call has no effect and its connection breaks.
	FaultLoseCall
	// FaultSilent: the call has no effect, and nothing is heard of it: its maker
	// waits as long as its patience lasts.
	FaultSilent
)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: map[Key]Row{}, changed: make(chan struct{}), lost: make(chan struct{})}
}

// SetFault sets the function that decides over each later call; nil serves all.
func (m *Memory) SetFault(f func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// LoseWaiting loses the answers of the calls that wait for changes now, as when
// their connections are cut without a word: nothing is heard of them any more.
func (m *Memory) LoseWaiting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.lost)
	m.lost = make(chan struct{})
}

// Forget drops the history of changes.
func (m *Memory) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgotten = m.version
	m.history = nil
}

// begin says what happens to a call. It returns once the caller's patience is over
// if nothing is to be heard of the call.
func (m *Memory) begin(ctx context.Context, c Call) Fault {
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
	fault := m.begin(ctx, CallTransact)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch fault {
	case FaultRefuse:
		return Outcome{}, ErrNotDone
	case FaultLoseCall, FaultSilent:
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
	if m.begin(ctx, CallRead) != FaultNone {
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
	lost := m.waiting()
	for {
		if m.begin(ctx, CallChanges) != FaultNone {
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

// waiting returns a channel that is closed once a call that begins now is to get no
// answer.
func (m *Memory) waiting() <-chan struct{} {
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
