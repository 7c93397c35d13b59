package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// A job whose record grows beyond row_bytes while it runs.

// Figures of the large job. rackBytes is the length of the name of the rack that its steps prefer.
const (
	largeSteps   = 100
	largeTasks   = 380
	maxSpecBytes = 4000
	rackBytes    = 150
	clashCheck   = 8
	shortWork    = 30 * time.Millisecond
)

// largeJob is a job of 380 tasks in 100 steps, each after all before it. mark is the character that
// its spec consists of.
func largeJob(mark string) submission {
	s := submission{Spec: strings.Repeat(mark, maxSpecBytes)}
	var after []int
	for i := range largeSteps {
		count := largeTasks / largeSteps
		if i < largeTasks%largeSteps {
			count++
		}
		s.Steps = append(s.Steps, step{
			Count: count, CPU: usualCPU, MemMB: 64, EstimateMS: 60, AfterRev: append([]int(nil), after...),
			Affinity: fmt.Sprintf("r1-%0*d", rackBytes-3, i%4), Checkpointing: true,
		})
		after = append(after, i)
	}
	return s
}

func rowWork(job.RunName) (time.Duration, gate.EndKind) { return shortWork, gate.EndDone }

func playRow(record *os.File, trouble bool) error {
	w, err := newWorld(record, trouble, options{entries: 3, agents: 4, need: job.Resources{CPU: usualCPU, Memory: 64}, work: rowWork})
	defer w.close()
	if err != nil {
		return err
	}
	ordinary := w.begin(submission{Spec: "clash check", Steps: []step{{Count: clashCheck, CPU: usualCPU, MemMB: 64, EstimateMS: 30}}}, 60*time.Millisecond)
	time.Sleep(5 * time.Second)
	mark := "a"
	if trouble {
		mark = "<"
	}
	body := largeJob(mark).encode()
	id := newID()
	status, _ := w.call(w.entries[0], "POST", id, body, deadline)
	w.logf("large job %s of %d bytes, spec of %d bytes (%q), %d steps, %d tasks, handed in at %s: %d", id, len(body), maxSpecBytes, mark, largeSteps, largeTasks, w.entries[0].name, status)
	time.Sleep(45 * time.Second)
	ordinary.end()
	ordinary.tell("ordinary jobs")
	w.logf("traffic has ended")
	time.Sleep(finish)
	_, answer := w.call(w.entries[1], "GET", id, nil, deadline)
	w.logf("large job: %s", answer)
	w.logEnds()
	return w.judgeLost(ordinary, clashCheck)
}

// logEnds records how many ends the executors have listed, and how many were taken note of.
func (w *world) logEnds() {
	ends, noted := 0, 0
	for _, s := range w.spans() {
		if s.End != 0 {
			ends++
			if s.Noted {
				noted++
			}
		}
	}
	times, largest := w.refusedValues()
	w.logf("ends listed: %d, taken note of: %d; largest value sent to the store: %d bytes; transactions refused for one above row_bytes: %d", ends, noted, largest, times)
}
