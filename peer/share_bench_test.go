package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/member"
)

// BenchmarkGateStartsAnew measures a review after one gate has been restarted.
func BenchmarkGateStartsAnew(b *testing.B) {
	for _, size := range []struct{ entries, gates int }{{55, 240}, {184, 800}, {368, 1600}} {
		b.Run(fmt.Sprintf("%d entries, %d gates", size.entries, size.gates), func(b *testing.B) {
			entries, gates := testFleet(size.entries, size.gates)
			links := &testLinks{kept: map[string]member.Box{}, cut: func(member.Box) bool { return false }}
			f := NewFleet(testEntry(entries[0]), links, &testNeeds{}, logr.Discard())
			for _, e := range entries {
				f.AddBox(member.Box{Node: e, Role: member.RoleEntry})
			}
			for _, g := range gates {
				g.Role = member.RoleAgent
				f.AddBox(g)
			}
			f.review(context.Background(), time.Now())
			for i := range b.N {
				g := gates[i%len(gates)]
				g.Role, g.Incarnation = member.RoleAgent, fmt.Sprint(i)
				f.AddBox(g)
				f.review(context.Background(), time.Now())
			}
		})
	}
}
