package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// keptSoakSeeds are the seeds of TestSoakKept. Each takes about 20 s.
var keptSoakSeeds = []uint64{
	1, // no failure known
	6, // a run that had been given up counted after its job was taken over or cancelled
}

// Times and sizes of TestSoakKept.
const (
	// keptSeconds is the usual length of a round.
	keptSeconds = 12
	// minKept and maxKept bound a task's duration. Most runs at an agent that is cut off end
	// before their lease does, up to 2.4 s later; their owner gives them up after 2.7 s.
	minKept = 300 * time.Millisecond
	maxKept = 2200 * time.Millisecond
	// keptPause is the time between two jobs, keptTasks the most tasks of one. Together they
	// occupy a third of the targets' capacity.
	keptPause = 150 * time.Millisecond
	keptTasks = 3
	// One job in keptCancelOdds is cancelled, up to keptCancelAfter after it was accepted.
	keptCancelOdds  = 2
	keptCancelAfter = 5 * time.Second
	// One run in keptFailOdds fails.
	keptFailOdds = 9
	// keptFaultPause is the time between two groups of faults.
	keptFaultPause = 4 * time.Second
	keptPrefix     = "d"
)

// keptPlan is the plan of TestSoakKept.
var keptPlan = soakPlan{
	resend: soakResend, jobPause: longJobPause, faultOdds: 200, slowClocks: true,
	background: func(r *soakRun, end time.Time, callers *sync.WaitGroup) {
		callers.Go(func() { r.keptJobs(end, callers) })
		r.faults.Go(func() { r.keptFaults(end) })
	},
}

// TestSoakKept is the soak with durable jobs whose tasks are given up and started again while their
// first runs go on: agents are cut off for longer than that takes, and before the cuts end jobs are
// cancelled, runs fail, targets crash and owners are lost.
func TestSoakKept(t *testing.T) {
	length := time.Duration(envUint(soakSecondsVariable, keptSeconds)) * time.Second
	rounds := int(envUint(soakRoundsVariable, 1))
	for _, seed := range chooseSeeds(keptSoakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, keptPlan, seed, length, rounds) })
	}
}

// keptWork returns how long a run of a job of TestSoakKept takes; ok is false for other jobs.
func keptWork(n job.RunName) (lasts time.Duration, ok bool) { return timedWork(keptPrefix, n.Job) }

// keptEnd returns how such a run ends.
func keptEnd(n job.RunName) gate.EndKind {
	mix := uint64(n.Index)*2654435761 + uint64(n.Run)*40503 + uint64(n.Job[len(n.Job)-1])*7919
	if mix%keptFailOdds == 5 {
		return gate.EndFailed
	}
	return gate.EndDone
}

// keptJobs submits durable jobs until a time, and cancels some of them later.
func (r *soakRun) keptJobs(end time.Time, callers *sync.WaitGroup) {
	random := r.randomFor(keptPart)
	for ; time.Now().Before(end); pause(keptPause) {
		r.longCount++
		lasts := minKept + time.Duration(random.Int64N(int64(maxKept-minKept)))
		j := &soakJob{id: timedID(keptPrefix, r.longCount, lasts), tasks: 1 + random.IntN(keptTasks), kept: lasts}
		first, cancelled := random.IntN(len(r.entries)), random.IntN(keptCancelOdds) == 0
		after := time.Duration(random.Int64N(int64(keptCancelAfter)))
		r.addLong(j)
		callers.Go(func() {
			r.call(j, first)
			if cancelled && j.accepted {
				pause(after)
				r.cancel(j, first)
			}
		})
	}
}

// submitKept submits a job of TestSoakKept.
func (r *soakRun) submitKept(j *soakJob, e *box) (status int, state string) {
	return e.ask(http.MethodPost, j.id, platformJobOf(j.tasks, false, j.kept))
}

// keptFaults injects groups of faults until a time.
func (r *soakRun) keptFaults(end time.Time) {
	random := r.randomFor(keptFaultsPart)
	pause(seriesFirstMS * time.Millisecond)
	for time.Now().Before(end) {
		r.keptFaultGroup(random)
		pause(keptFaultPause)
	}
}

// keptFaultGroup cuts agents off, and then kills entries and crashes other targets about when the
// runs of these agents are started again.
func (r *soakRun) keptFaultGroup(random *rand.Rand) {
	order := random.Perm(len(r.agents))
	cut := 1 + random.IntN(2)
	for _, i := range order[:cut] {
		m, lasts := r.agents[i], milliseconds(2800+random.IntN(1200))
		r.faults.Go(func() { r.disrupt(m.name, "silent", m.inbound, faults{CutUp: true, CutDown: true}, lasts) })
	}
	at := milliseconds(2700 + random.IntN(700))
	for _, i := range order[cut : cut+random.IntN(len(order)-cut+1)] {
		m := r.agents[i]
		r.faults.Go(func() {
			pause(at)
			r.note("crash of the target of %s", m.name)
			r.newLife(m)
		})
	}
	for _, i := range random.Perm(len(r.entries))[:random.IntN(len(r.entries))] {
		e, down := r.entries[i], milliseconds(200+random.IntN(1300))
		r.faults.Go(func() {
			pause(at)
			e.restartLogged(r, "kill", e.kill, func() time.Duration { return down })
		})
	}
}
