package loadview

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// Work is put into the bucket of its urgency, also if it should have started already.
func TestBucketOf(t *testing.T) {
	for _, c := range []struct {
		within time.Duration
		want   int
	}{
		{-time.Hour, 0}, {0, 0}, {25 * ms, 0}, {25*ms + 1, 1}, {50 * ms, 1}, {100 * ms, 2}, {101 * ms, 3}, {200 * ms, 3}, {400 * ms, 4}, {401 * ms, 5}, {time.Hour, 5},
	} {
		if got := BucketOf(c.within); got != c.want {
			t.Errorf("BucketOf(%v) = %d, want %d", c.within, got, c.want)
		}
	}
}

// A share of an amount is rounded up, so that a little work spread over many gates is not
// lost, and the shares of much work add up to it.
func TestPerGate(t *testing.T) {
	for _, c := range []struct {
		cpu, estimateMS, tasks, gates, want int
	}{
		{1, 1, 1, 60, 1}, {2700, 55, 1, 60, 3}, {2700, 55, 8, 60, 20}, {1600, 100, 600, 60, 1600}, {1000, 60, 1, 60, 1}, {1000, 61, 1, 60, 2}, {1000, 60, 1, 0, 60}, {0, 60, 1, 60, 0},
	} {
		var b Backlog
		for range c.tasks {
			b.Add(2, c.cpu, c.estimateMS)
		}
		if got := b.PerGate(c.gates); got != (Work{2: c.want}) {
			t.Errorf("%+v: %v per gate", c, got)
		}
	}
}

// Fields of frames hold no more than is needed, and what a peer of another build may send is
// understood.
func TestFields(t *testing.T) {
	for _, c := range []struct {
		work Work
		want []int
	}{
		{Work{}, nil}, {Work{5}, []int{5}}, {Work{0, 0, 7}, []int{0, 0, 7}}, {Work{1, 2, 3, 4, 5, 6}, []int{1, 2, 3, 4, 5, 6}},
	} {
		got := c.work.Encode()
		if !slices.Equal(got, c.want) || (got == nil) != (c.want == nil) {
			t.Errorf("%v is encoded as %v, want %v", c.work, got, c.want)
		}
		if back := decode(got); back != c.work {
			t.Errorf("%v comes back as %v", c.work, back)
		}
	}
	if got := DecodeOthers([]int{-4, 1, 2, 3, 4, 5, -1, 9}); got != (Others{Work: Work{0, 1, 2, 3, 4, 5}}) {
		t.Errorf("a field with negative and unknown elements is read as %+v", got)
	}
	if got := DecodeOthers(Others{Work: Work{3}, Silent: 2}.encode()); got != (Others{Work: Work{3}, Silent: 2}) {
		t.Errorf("silent owners come back as %+v", got)
	}
}

// A gate reports to each owner what the others have reported, while that is fresh.
func TestTable(t *testing.T) {
	type step struct {
		at   time.Duration
		do   string
		from string
		work []int
	}
	for _, c := range []struct {
		name  string
		steps []step
		at    time.Duration
		want  []int
	}{
		{"own entry left out", []step{{0, "report", "a", []int{9}}, {0, "report", "b", []int{1, 2}}, {0, "report", "c", []int{0, 5}}}, 0, []int{1, 7}},
		{"nothing waits", []step{{0, "report", "a", []int{0}}, {0, "report", "b", []int{0}}, {0, "report", "c", []int{0}}}, 0, []int{0}},
		{"cleared by an empty field", []step{{0, "report", "a", []int{9}}, {0, "report", "b", []int{1}}, {0, "report", "c", []int{4}}, {10 * ms, "report", "b", nil}}, 10 * ms, []int{4}},
		{"newest counts", []step{{0, "report", "a", []int{9}}, {0, "report", "b", []int{1}}, {0, "report", "c", []int{0}}, {10 * ms, "report", "b", []int{2}}}, 10 * ms, []int{2}},
		{"as old as allowed", []step{{0, "report", "a", []int{9}}, {0, "report", "b", []int{1}}, {500 * ms, "report", "c", []int{4}}}, MaxAge, []int{5}},
		{"too old", []step{{0, "report", "a", []int{9}}, {0, "report", "b", []int{1}}, {500 * ms, "report", "c", []int{4}}}, MaxAge + 1, []int{4}},
		{"dropped", []step{{0, "report", "a", []int{9}}, {0, "report", "b", []int{1}}, {0, "report", "c", []int{4}}, {0, "drop", "b", nil}}, 0, []int{4}},
		{"linked again, no report yet", []step{{0, "report", "a", []int{9}}, {0, "report", "b", []int{1}}, {0, "report", "c", []int{4}}, {0, "link", "b", nil}}, 0, []int{4, 0, 0, 0, 0, 0, 1}},
		{"others of an earlier build", []step{{0, "report", "a", []int{9}}, {0, "report", "b", nil}, {0, "report", "c", nil}}, 0, []int{0, 0, 0, 0, 0, 0, 2}},
		{"receiver of an earlier build", []step{{0, "report", "a", nil}, {0, "report", "b", []int{1}}, {0, "report", "c", []int{4}}}, 0, nil},
		{"report without a link", []step{{0, "report", "a", []int{9}}, {0, "report", "b", []int{1}}, {0, "report", "c", []int{0}}, {0, "report", "d", []int{4}}}, 0, []int{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table Table
			for _, o := range []string{"a", "b", "c"} {
				table.Link(o)
			}
			for _, s := range c.steps {
				switch s.do {
				case "report":
					table.Report(s.at, s.from, s.work)
				case "drop":
					table.Drop(s.from)
				case "link":
					table.Link(s.from)
				}
			}
			if got := table.Others(c.at, "a"); !slices.Equal(got, c.want) {
				t.Errorf("reported %v, want %v", got, c.want)
			}
		})
	}
}

// A gate says once that it takes part; after that an idle link carries nothing.
func TestAnnouncedOnce(t *testing.T) {
	var table Table
	table.Link("a")
	if got := table.Others(0, "a"); got != nil {
		t.Errorf("%v to an owner that has not reported", got)
	}
	table.Report(0, "a", Announcement())
	if got := table.Others(0, "a"); !slices.Equal(got, Announcement()) {
		t.Errorf("first answer %v, want the announcement", got)
	}
	if got := table.Others(0, "a"); got != nil {
		t.Errorf("second answer %v, want none", got)
	}
	table.Link("a")
	table.Report(0, "a", Announcement())
	if got := table.Others(0, "a"); !slices.Equal(got, Announcement()) {
		t.Errorf("first answer over a new link %v, want the announcement", got)
	}
}

// The work ahead is that of the own queue and the others', as far as it is known.
func TestAhead(t *testing.T) {
	reported := func(capacity int, others ...int) Gate {
		return Gate{TakesPart: true, Age: 100 * ms, Capacity: capacity, Others: others}
	}
	stale := Gate{TakesPart: true, Age: MaxAge + 1, Capacity: 10, Others: []int{1000}}
	earlier := Gate{Capacity: 10}
	for _, c := range []struct {
		name   string
		gates  []Gate
		own    float64
		bucket int
		want   float64
		usable bool
	}{
		{"no gate", nil, 100, 0, 0, false},
		{"nobody else waits", []Gate{reported(10), reported(10)}, 100, 5, 100, true},
		{"others up to the bucket", []Gate{reported(10, 1, 2, 4, 8, 16, 32), reported(10, 1)}, 100, 2, 108, true},
		{"all others", []Gate{reported(10, 1, 2, 4, 8, 16, 32)}, 100, 5, 163, true},
		{"stale gate scaled by capacity", []Gate{reported(10, 30), stale}, 100, 0, 160, true},
		{"large stale gate", []Gate{reported(10, 30), {Capacity: 30}}, 100, 0, 220, true},
		{"gate of an earlier build scaled", []Gate{reported(10, 30), earlier}, 100, 0, 160, true},
		{"fewer than half fresh", []Gate{reported(10, 30), stale, earlier}, 100, 0, 0, false},
		{"no capacity known", []Gate{reported(0, 30)}, 100, 0, 0, false},
		{"silent owners count as this one", []Gate{reported(10, 5, 0, 0, 0, 0, 0, 2), reported(10, 5, 0, 0, 0, 0, 0, 2)}, 100, 0, 310, true},
		{"silent at half of the gates", []Gate{reported(10, 0, 0, 0, 0, 0, 0, 2), reported(10)}, 100, 0, 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v View
			for _, g := range c.gates {
				v.Add(g)
			}
			if v.Usable() != c.usable {
				t.Fatalf("usable %v, want %v", v.Usable(), c.usable)
			}
			if !c.usable {
				if n := v.OthersTotal(); n != 0 {
					t.Errorf("%v of others in a view that is not usable", n)
				}
				return
			}
			if got := v.Ahead(c.own, c.bucket); got != c.want {
				t.Errorf("%v ahead, want %v", got, c.want)
			}
			if v.Oldest() != 100*ms {
				t.Errorf("oldest report %v", v.Oldest())
			}
		})
	}
}

// Owners with equal demand that report to all their gates arrive at the work of all owners,
// up to the rounding of each report.
func TestSumOfAllOwners(t *testing.T) {
	const owners, gates = 10, 60
	var b Backlog
	for i := range 40 {
		b.Add(i%Buckets, 2700, 55)
	}
	total := b.PerGate(1).Total()
	tables := make([]Table, gates)
	for g := range tables {
		for o := range owners {
			tables[g].Link(fmt.Sprint(o))
			tables[g].Report(0, fmt.Sprint(o), b.PerGate(gates).Encode())
		}
	}
	var v View
	for g := range tables {
		v.Add(Gate{TakesPart: true, Capacity: 32000, Others: tables[g].Others(0, "0")})
	}
	got, want := v.Ahead(float64(total), Buckets-1), float64(owners*total)
	if rounding := float64(gates * owners * Buckets); got < want || got > want+rounding {
		t.Errorf("%v ahead, want %v to %v", got, want, want+rounding)
	}
}
