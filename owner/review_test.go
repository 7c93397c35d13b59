package owner

import (
	"testing"

	"rackspur/gate"
)

// A life that has taken over another's jobs is lost in turn, before every gate has told of
// the first life's runs: its jobs include the first one's, whose own row has none any more.
// Nothing of them starts, and the first row does not fall, before the gates have told of
// the runs of both.
func TestAdoptionOfAdopterWaitsForBothLives(t *testing.T) {
	b := newBench(t)
	link := b.connect("gate-1")
	b.owner.StartAdoption([]string{"entry~00"})
	b.owner.StartAdoption([]string{deadLife})
	told := b.owner.Adopt([]string{"entry~00"}, b.now, nil)
	select {
	case <-told:
		t.Error("the first row falls before the gate has told of its runs")
	default:
	}
	record := keptRecord(1)
	record.Owner, record.Generation = "entry~1", 2
	b.owner.Adopt([]string{deadLife}, b.now, []Adopted{{Record: record, Version: 7}})
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{deadLife}})
	if f := b.flush("gate-1", link); len(f.Starts) != 0 {
		t.Errorf("started %+v before the gate has told of the first life's runs", f.Starts)
	}
}
