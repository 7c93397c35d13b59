package retryafter

import (
	"container/list"
	"time"
)

// maxRemembered bounds the ids in a Memory: about 8 s of refusals at 500 a second.
const maxRemembered = 4096

// Refused is what is remembered of a refused job.
type Refused struct {
	// Order is the position of the job's first attempt in the order of arrival.
	Order uint64
	// Delay is the delay that its caller was given last.
	Delay time.Duration
}

// Memory holds the ids of refused jobs until their callers should have returned. If there
// are too many, those refused longest ago are forgotten. It is not safe for concurrent use.
type Memory struct {
	keep time.Duration
	byID map[string]*list.Element
	// entries are ordered by the time of the last refusal.
	entries list.List
}

type memoryEntry struct {
	id      string
	at      time.Duration
	refused Refused
}

// NewMemory returns an empty memory for delays up to limit. Ids are kept for a second
// longer, the time that a caller may need to return.
func NewMemory(limit time.Duration) *Memory {
	return &Memory{keep: limit + time.Second, byID: map[string]*list.Element{}}
}

// Add remembers a refused job, in place of what was remembered of it before.
func (m *Memory) Add(now time.Duration, id string, r Refused) {
	m.remove(id)
	m.expire(now)
	if len(m.byID) >= maxRemembered {
		m.remove(m.entries.Front().Value.(*memoryEntry).id)
	}
	m.byID[id] = m.entries.PushBack(&memoryEntry{id: id, at: now, refused: r})
}

// Get returns what is remembered of a job.
func (m *Memory) Get(now time.Duration, id string) (Refused, bool) {
	m.expire(now)
	e := m.byID[id]
	if e == nil {
		return Refused{}, false
	}
	return e.Value.(*memoryEntry).refused, true
}

// Take returns what is remembered of a job and forgets it.
func (m *Memory) Take(now time.Duration, id string) (Refused, bool) {
	r, ok := m.Get(now, id)
	m.remove(id)
	return r, ok
}

// Len returns the number of remembered ids, including expired ones.
func (m *Memory) Len() int { return len(m.byID) }

func (m *Memory) remove(id string) {
	if e := m.byID[id]; e != nil {
		m.entries.Remove(e)
		delete(m.byID, id)
	}
}

// expire forgets the jobs that were refused too long ago.
func (m *Memory) expire(now time.Duration) {
	for e := m.entries.Front(); e != nil; e = m.entries.Front() {
		old := e.Value.(*memoryEntry)
		if now-old.at <= m.keep {
			return
		}
		m.remove(old.id)
	}
}
