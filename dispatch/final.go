package dispatch

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"rackspur/id"
	"rackspur/wire"
)

// ErrLedger says that bytes hold no final ledger.
var ErrLedger = eris.New("dispatch: not a final ledger")

// Final returns the ledger in the form in which it outlives its home. Every
// submission must have its answer.
func (l *Ledger) Final() []byte {
	f := &wire.FinalLedger{
		Incarnation: l.incarnation[:],
		Secret:      l.secret[:],
		Lowest:      l.lowest,
		Next:        l.next,
	}
	for number, b := range l.blocks {
		for nonce, e := range b.entries {
			if e.reply == nil {
				continue
			}
			key := id.ID{Block: number, Nonce: nonce}.Key()
			f.Entries = append(f.Entries, &wire.FinalEntry{Key: []byte(key), Reply: e.reply})
		}
	}
	out, err := proto.Marshal(f)
	if err != nil {
		panic(err) // the message holds only bytes and valid text
	}
	return out
}

// FinalLedger answers for a home that left in order.
type FinalLedger struct {
	incarnation  id.Incarnation
	secret       id.Secret
	lowest, next uint32
	replies      map[string]*wire.SubmitReply
}

// OpenFinal reads what Ledger.Final wrote. It returns ErrLedger for anything else.
func OpenFinal(b []byte) (*FinalLedger, error) {
	var f wire.FinalLedger
	if err := proto.Unmarshal(b, &f); err != nil {
		return nil, eris.Wrap(ErrLedger, err.Error())
	}
	n, ok := id.IncarnationOf(f.GetIncarnation())
	if !ok || len(f.GetSecret()) != id.KeySize {
		return nil, ErrLedger
	}
	l := &FinalLedger{
		incarnation: n,
		secret:      id.Secret(f.GetSecret()),
		lowest:      f.GetLowest(),
		next:        f.GetNext(),
		replies:     make(map[string]*wire.SubmitReply, len(f.GetEntries())),
	}
	for _, e := range f.GetEntries() {
		l.replies[string(e.GetKey())] = e.GetReply()
	}
	return l, nil
}

// Incarnation returns the home that the ledger speaks for.
func (l *FinalLedger) Incarnation() id.Incarnation {
	return l.incarnation
}

// Answer returns what the home would say of an id. An id that it never saw did
// not run and never will.
func (l *FinalLedger) Answer(v id.ID, member string) *wire.SubmitReply {
	if v.Incarnation != l.incarnation || !v.Verify(l.secret, member) || v.Block >= l.next {
		return reply(wire.Outcome_OUTCOME_NO_SUCH_ID, reasonNoSuchID, "")
	}
	if v.Block < l.lowest {
		return reply(wire.Outcome_OUTCOME_FORGOTTEN, reasonExpired, "the id has expired; its outcome is no longer known")
	}
	if r := l.replies[v.Key()]; r != nil {
		return r
	}
	return reply(wire.Outcome_OUTCOME_NOT_RUN, reasonLeft, "the home of this id has left; the id was never used")
}
