package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the platform's store, as the settings files of the case state them.
const (
	storeRowBytes   = 65536
	storeAnswerTime = 4 * time.Millisecond
	// storePartTime is how long a part takes for a transaction; it makes one after the other.
	storePartTime = time.Second / 300
	storePage     = 500
)

// wireRow is a row, a condition, a put or a delete on the wire.
type wireRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tlsKey"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (w *wireRow) at() rowKey { return rowKey{w.Table, w.Part, w.Key} }

type wireTx struct {
	Conditions []wireRow `json:"expectedRev"`
	Puts       []wireRow `json:"put"`
	Deletes    []wireRow `json:"delete"`
}

type wirePage struct {
	Rows []wireRow `json:"rows"`
	More bool      `json:"more"`
	Ver  uint64    `json:"ver"`
	Now  int64     `json:"now_ms"`
}

// writeFate is what happens to a writing call.
type writeFate struct {
	// unanswered calls get no answer, and their connection says nothing further. They are carried
	// out after the delay if their conditions still hold then.
	unanswered bool
	late       time.Duration
}

// store stands in for the platform's metadata store: rows with versions, conditional transactions
// and a feed of changes, in memory.
type store struct {
	mu      sync.Mutex
	started time.Time
	ver     uint64
	rows    map[rowKey]wireRow
	log     []wireRow
	changed chan struct{}
	// turns has a lock for each part.
	turns map[string]*sync.Mutex
	// fate decides on each writing call; nil means that all are answered.
	fate func(t *wireTx) writeFate
	// writes counts the writing calls, lost those that got no answer, oversized those refused
	// since a value was longer than a row may be.
	writes, lost, oversized int
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]wireRow{}, turns: map[string]*sync.Mutex{}, changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTx)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	return mux
}

func (s *store) serveTx(w http.ResponseWriter, req *http.Request) {
	var t wireTx
	if err := json.NewDecoder(req.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswerTime)
	if len(t.Conditions)+len(t.Puts)+len(t.Deletes) > 100 {
		http.Error(w, "more than 100 entries", http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if len(p.Value) > storeRowBytes {
			s.mu.Lock()
			s.oversized++
			s.mu.Unlock()
			http.Error(w, "value of "+strconv.Itoa(len(p.Value))+" bytes", http.StatusBadRequest)
			return
		}
	}
	if fate := s.fateOf(&t); fate.unanswered {
		time.AfterFunc(fate.late, func() { s.apply(&t) })
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	turn := s.turnOf(&t)
	turn.Lock()
	time.Sleep(storePartTime)
	page, ok := s.apply(&t)
	turn.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.write(w, status, page)
}

// turnOf returns the lock of the part that a transaction is for.
func (s *store) turnOf(t *wireTx) *sync.Mutex {
	part := ""
	for _, rows := range [][]wireRow{t.Conditions, t.Puts, t.Deletes} {
		if len(rows) > 0 {
			part = rows[0].Part
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turns[part] == nil {
		s.turns[part] = &sync.Mutex{}
	}
	return s.turns[part]
}

func (s *store) fateOf(t *wireTx) writeFate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.fate == nil {
		return writeFate{}
	}
	f := s.fate(t)
	if f.unanswered {
		s.lost++
	}
	return f
}

// setFate sets what happens to the writing calls from now on.
func (s *store) setFate(f func(t *wireTx) writeFate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = f
}

// apply carries out a transaction if its conditions hold.
func (s *store) apply(t *wireTx) (wirePage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := wirePage{Rows: []wireRow{}}
	holds := true
	for _, c := range t.Conditions {
		row, there := s.rows[c.at()]
		if there {
			page.Rows = append(page.Rows, row)
		}
		holds = holds && row.Ver == c.Ver
	}
	page.Ver = s.ver
	if !holds {
		return page, false
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.rows[p.at()] = p
		s.log = append(s.log, p)
	}
	for _, d := range t.Deletes {
		delete(s.rows, d.at())
		s.log = append(s.log, wireRow{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Gone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return wirePage{Rows: []wireRow{}, Ver: s.ver}, true
}

// put writes a row without a condition, as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.apply(&wireTx{Puts: []wireRow{{Table: table, Key: key, Value: value}}})
}

func (s *store) serveGet(w http.ResponseWriter, req *http.Request) {
	time.Sleep(storeAnswerTime)
	v := req.URL.Query()
	limit := storePage
	if n, err := strconv.Atoi(v.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	page := wirePage{Rows: []wireRow{}, Ver: s.ver}
	for k, r := range s.rows {
		until := v.Get("targetVersion")
		if k.table == v.Get("table") && k.part == v.Get("part") && k.key >= v.Get("from") && (until == "" || k.key < until) {
			page.Rows = append(page.Rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	s.write(w, http.StatusOK, page)
}

func (s *store) serveFeed(w http.ResponseWriter, req *http.Request) {
	v := req.URL.Query()
	after, err := strconv.ParseUint(v.Get("afterRev"), 10, 64)
	wait, err2 := strconv.Atoi(v.Get("waitMs"))
	if err != nil || err2 != nil {
		http.Error(w, "afterRev or waitMs is no number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		page, changed := s.changesAfter(v.Get("table"), after)
		if len(page.Rows) > 0 {
			time.Sleep(storeAnswerTime)
			s.write(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.write(w, http.StatusOK, page)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(table string, after uint64) (wirePage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := wirePage{Rows: []wireRow{}, Ver: s.ver}
	for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Ver > after }); i < len(s.log); i++ {
		if s.log[i].Table == table {
			page.Rows = append(page.Rows, s.log[i])
		}
	}
	return page, s.changed
}

func (s *store) write(w http.ResponseWriter, status int, page wirePage) {
	page.Now = time.Since(s.started).Milliseconds()
	writeJSON(w, status, page)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
