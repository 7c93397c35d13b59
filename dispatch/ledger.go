package dispatch

import (
	"rackspur/id"
	"rackspur/wire"
)

// Ledger remembers every submission of the blocks that live. Whole blocks are
// forgotten when they expire, in the order of their numbers, so its memory is
// bounded and no two clocks need agree.
type Ledger struct {
	incarnation id.Incarnation
	secret      id.Secret
	blocks      map[uint32]*block
	// lowest and next bound the numbers of the blocks that live.
	lowest, next uint32
	// kept lists answered submissions, oldest first, with their results' size.
	kept      []*entry
	keptBytes int
	budget    int
}

type block struct {
	expires Time
	entries map[id.Nonce]*entry
}

// entry is one submission in the ledger.
type entry struct {
	job         *job
	reply       *wire.SubmitReply
	fingerprint uint64
	size        int
}

// NewLedger returns an empty ledger that keeps results of at most budget bytes.
func NewLedger(n id.Incarnation, budget int) *Ledger {
	return &Ledger{
		incarnation: n,
		secret:      id.NewSecret(),
		blocks:      map[uint32]*block{},
		lowest:      1,
		next:        1,
		budget:      budget,
	}
}

// Issue opens a new block that expires at the given time.
func (l *Ledger) Issue(expires Time) (number uint32, key [id.KeySize]byte) {
	number = l.next
	l.next++
	l.blocks[number] = &block{expires: expires, entries: map[id.Nonce]*entry{}}
	return number, l.secret.BlockKey(number)
}

// Expire forgets the blocks whose time is over, except those with jobs that run.
func (l *Ledger) Expire(now Time) {
	for l.lowest < l.next {
		b := l.blocks[l.lowest]
		if b.expires > now || b.busy() {
			return
		}
		l.drop(b)
		delete(l.blocks, l.lowest)
		l.lowest++
	}
}

// drop takes the results of a block out of the account of what is kept.
func (l *Ledger) drop(b *block) {
	for _, e := range b.entries {
		l.keptBytes -= e.size
		e.size = 0
	}
	for len(l.kept) > 0 && l.kept[0].size == 0 {
		l.kept = l.kept[1:]
	}
}

func (b *block) busy() bool {
	for _, e := range b.entries {
		if e.reply == nil {
			return true
		}
	}
	return false
}

// Size returns the number of submissions and the bytes of results remembered.
func (l *Ledger) Size() (submissions, bytes int) {
	for _, b := range l.blocks {
		submissions += len(b.entries)
	}
	return submissions, l.keptBytes
}

// check returns the answer for an id that can't run, or nil and the entry, which
// is nil for an id not seen so far.
func (l *Ledger) check(v id.ID, member string) (*wire.SubmitReply, *entry) {
	if v.Incarnation != l.incarnation {
		return reply(wire.Outcome_OUTCOME_WRONG_HOME, reasonWrongHome, ""), nil
	}
	if !v.Verify(l.secret, member) || v.Block >= l.next {
		return reply(wire.Outcome_OUTCOME_NO_SUCH_ID, reasonNoSuchID, ""), nil
	}
	if v.Block < l.lowest {
		return reply(wire.Outcome_OUTCOME_FORGOTTEN, reasonExpired, "the id has expired; its outcome is no longer known"), nil
	}
	return nil, l.blocks[v.Block].entries[v.Nonce]
}

// expired reports whether the id's block is over for submissions not seen so far.
func (l *Ledger) expired(v id.ID, now Time) bool {
	return l.blocks[v.Block].expires <= now
}

func (l *Ledger) put(v id.ID, e *entry) {
	l.blocks[v.Block].entries[v.Nonce] = e
}

// keep writes the final answer and drops the oldest results over the budget.
func (l *Ledger) keep(e *entry, r *wire.SubmitReply) {
	e.reply = r
	e.job = nil
	for _, t := range r.GetResults() {
		e.size += len(t.GetResult()) + len(t.GetError())
	}
	if e.size == 0 {
		return
	}
	l.kept = append(l.kept, e)
	l.keptBytes += e.size
	for l.keptBytes > l.budget && len(l.kept) > 1 {
		old := l.kept[0]
		l.kept = l.kept[1:]
		if old.size == 0 {
			continue
		}
		l.keptBytes -= old.size
		old.size = 0
		old.reply = withoutResults(old.reply)
	}
}

// withoutResults is the answer that remains of one whose results were dropped.
func withoutResults(r *wire.SubmitReply) *wire.SubmitReply {
	if len(r.GetResults()) == 0 {
		return r
	}
	return &wire.SubmitReply{
		Outcome:        wire.Outcome_OUTCOME_FORGOTTEN,
		Reason:         reasonDropped,
		Detail:         "the submission was answered " + r.GetOutcome().String() + "; its results are no longer kept",
		HandledVersion: r.GetHandledVersion(),
		Home:           r.GetHome(),
	}
}

func reply(o wire.Outcome, reason, detail string) *wire.SubmitReply {
	return &wire.SubmitReply{Outcome: o, Reason: reason, Detail: detail}
}
