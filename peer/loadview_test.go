package peer

import (
	"errors"
	"math"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"rackspur/gate"
	"rackspur/loadview"
	"rackspur/peer/peerpb"
)

// The fields of the shared view come over the wire as they are; amounts out of range become
// the nearest in range, and not small ones by overflow. A field takes at most 37 bytes, and
// none while nobody waits: frames go at tens per second over each link.
func TestLoadViewOnWire(t *testing.T) {
	const huge = math.MaxUint32
	marshal := func(m proto.Message) []byte {
		wire, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return wire
	}
	owner := func(field []int) []byte { return marshal(toOwnerFrame(gate.OwnerFrame{Waiting: field})) }
	target := func(field []int) []byte {
		return marshal(toGateFrame(gate.Frame{Report: gate.Report{OthersWaiting: field}}))
	}
	for _, c := range []struct {
		sent, want []int
		bytes      int
	}{
		{nil, nil, 0},
		{loadview.Announcement(), []int{0}, 3},
		{[]int{0, 0, 7}, []int{0, 0, 7}, 5},
		{[]int{1, 2, 3, 4, 5, 6, 2}, []int{1, 2, 3, 4, 5, 6, 2}, 9},
		{[]int{1 << 40, -3}, []int{huge, 0}, 8},
		{[]int{huge, huge, huge, huge, huge, huge, huge}, []int{huge, huge, huge, huge, huge, huge, huge}, 37},
	} {
		var o peerpb.OwnerFrame
		var g peerpb.GateFrame
		if err := errors.Join(proto.Unmarshal(owner(c.sent), &o), proto.Unmarshal(target(c.sent), &g)); err != nil {
			t.Fatal(err)
		}
		if got := fromOwnerFrame(&o).Waiting; !slices.Equal(got, c.want) {
			t.Errorf("waiting %v arrives as %v", c.sent, got)
		}
		if got := fromGateFrame(&g).Report.OthersWaiting; !slices.Equal(got, c.want) {
			t.Errorf("others' waiting %v arrives as %v", c.sent, got)
		}
		ofOwner, ofGate := len(owner(c.sent))-len(owner(nil)), len(target(c.sent))-len(target(nil))
		if ofOwner != c.bytes || ofGate != c.bytes {
			t.Errorf("%v takes %d bytes in a frame of an owner and %d of a gate, want %d", c.sent, ofOwner, ofGate, c.bytes)
		}
	}
}
