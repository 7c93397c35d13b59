package node

import (
	"testing"
	"time"

	"rackspur/job"
	"rackspur/owner"
)

// Guards against boxes that forget a job while it runs: a second caller waits longer than the one
// that the box was told of.
func TestLongerJobIsAnnouncedAgain(t *testing.T) {
	c := newIdleCluster(t, 2, 1, quickWork)
	a := newAnnouncer(c.entry(0).current.Load())
	c.until("the other entry box is known", func() bool { return len(a.others()) == 1 })
	b := a.others()[0]
	now := time.Now()
	a.told[b.Node] = &toldBox{jobs: map[job.ID]toldJob{}}
	left := func(d time.Duration) []owner.AnnouncedJob {
		return []owner.AnnouncedJob{{ID: "00000000000000aa", Left: d}}
	}
	told := a.told[b.Node]
	if n := len(told.news(now, b.Incarnation, left(3*time.Second))); n != 1 {
		t.Fatalf("%d jobs to announce, want 1", n)
	}
	a.tell(b, left(3*time.Second))
	for name, step := range map[string]struct {
		left time.Duration
		want int
	}{"as told": {2 * time.Second, 0}, "longer": {5 * time.Second, 1}} {
		if n := len(told.news(now.Add(time.Second), b.Incarnation, left(step.left))); n != step.want {
			t.Errorf("%s: %d jobs to announce, want %d", name, n, step.want)
		}
	}
	live := left(2 * time.Second)
	live[0].Live = true
	if n := len(told.news(now.Add(time.Second), b.Incarnation, live)); n != 1 {
		t.Errorf("%d jobs to announce once the owner runs the job again, want 1", n)
	}
}
