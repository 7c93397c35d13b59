package dispatch

import (
	"testing"

	"rackspur/id"
	"rackspur/wire"
)

func TestFinalLedgerSpeaksForHome(t *testing.T) {
	b := newBench(t)
	seen, unseen := b.newID("m"), b.newID("m")
	e := &entry{}
	b.home.ledger.put(seen, e)
	b.home.ledger.keep(e, reply(wire.Outcome_OUTCOME_COMPLETE, "", ""))
	final, err := OpenFinal(b.home.ledger.Final())
	if err != nil {
		t.Fatal(err)
	}
	other := seen
	other.Incarnation = id.NewIncarnation()
	later := seen
	later.Block = 9
	cases := []struct {
		name   string
		id     id.ID
		member string
		want   wire.Outcome
	}{
		{"1 answered", seen, "m", wire.Outcome_OUTCOME_COMPLETE},
		{"2 never used", unseen, "m", wire.Outcome_OUTCOME_NOT_RUN},
		{"3 another member's", seen, "n", wire.Outcome_OUTCOME_NO_SUCH_ID},
		{"4 another home's", other, "m", wire.Outcome_OUTCOME_NO_SUCH_ID},
		{"5 of a block never issued", later, "m", wire.Outcome_OUTCOME_NO_SUCH_ID},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := final.Answer(tc.id, tc.member).GetOutcome(); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

func FuzzOpenFinal(f *testing.F) {
	l := NewLedger(id.NewIncarnation(), 0)
	l.Issue(1)
	f.Add(l.Final())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		final, err := OpenFinal(raw)
		if err == nil && final.Answer(id.ID{}, "m") == nil {
			t.Error("no answer")
		}
	})
}
