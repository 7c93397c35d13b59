package node

import (
	"testing"
	"time"

	"rackspur/owner"
)

// An owner that was isolated drops its jobs and announces their runs, while another one already runs
// a job of them. A caller that comes back has to be sent to the latter.
func TestDroppedJobDoesNotHideLiveOne(t *testing.T) {
	now := time.Now()
	announced := func(live bool) []owner.AnnouncedJob {
		return []owner.AnnouncedJob{{ID: "00000000000000aa", Left: 5 * time.Second, Live: live}}
	}
	var e jobsElsewhere
	e.add(now, "entry-1~1", announced(true))
	e.add(now.Add(time.Second), "entry-0~1", announced(false))
	if at, ok := e.find(now.Add(time.Second), "00000000000000aa"); !ok || at != "entry-1~1" {
		t.Errorf("job at %q, want the owner that runs it", at)
	}
	// The owner itself drops the job, or its time is over: what others announce counts again.
	e.add(now.Add(time.Second), "entry-1~1", announced(false))
	e.add(now.Add(2*time.Second), "entry-0~1", announced(false))
	if at, _ := e.find(now.Add(2*time.Second), "00000000000000aa"); at != "entry-0~1" {
		t.Errorf("job at %q, want the newest owner that has dropped it", at)
	}
}
