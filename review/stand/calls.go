package main

import (
	"os"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Many small tasks at once: an agent calls its executor for all that fit, at the same time.

// Figures of the jobs with many small tasks.
const (
	smallJobs  = 30
	smallTasks = 380
	smallCPU   = 1
	smallWork  = 500 * time.Millisecond
)

func callsWork(job.RunName) (time.Duration, gate.EndKind) { return smallWork, gate.EndDone }

func playCalls(record *os.File, trouble bool) error {
	w, err := newWorld(record, trouble, options{entries: 3, agents: 11, need: job.Resources{CPU: smallCPU}, work: callsWork})
	defer w.close()
	if err != nil {
		return err
	}
	ordinary := w.begin(submission{Spec: "room swap", Steps: []step{{Count: roomSwap, CPU: usualCPU, MemMB: 64, EstimateMS: 500}}}, 200*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		body := submission{Spec: "x", Steps: []step{{Count: smallTasks, CPU: smallCPU, EstimateMS: 500}}}.encode()
		codes := map[int]int{}
		for i := range smallJobs {
			id := newID()
			w.setNeed(id, smallCPU)
			status, _ := w.call(w.entries[i%len(w.entries)], "POST", id, body, deadline)
			codes[status]++
		}
		w.logf("%d jobs of %d bytes, %d tasks each, handed in: %v", smallJobs, len(body), smallTasks, codes)
	}
	time.Sleep(30 * time.Second)
	ordinary.end()
	ordinary.tell("ordinary jobs")
	w.logf("traffic has ended")
	time.Sleep(finish)
	return w.judgeLost(ordinary, roomSwap)
}
