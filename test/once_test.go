package test

import (
	"context"
	"sync"
	"testing"
	"time"

	"rackspur/api"
	"rackspur/caller"
	"rackspur/internal/standin"
)

// onceRun is a submission in progress during which a case injects its fault.
type onceRun struct {
	*cluster
	id    string
	job   *api.Job
	home  int
	first *caller.Client
}

// awaitOther waits until the agent after the home runs a task of the job, if the job
// has more than one.
func (r *onceRun) awaitOther() {
	if len(r.job.Tasks) > 1 {
		waitFor(r.t, "another agent runs a task", func() bool { return len(r.startLog((r.home+1)%3)) > 0 })
	}
}

// onceCase is a fault during a submission that is sent several times.
type onceCase struct {
	name string
	// before injects a fault before the job is first sent.
	before func(r *onceRun)
	// during injects a fault once the first task has started.
	during func(r *onceRun)
	// after removes the fault before the last resubmission.
	after func(r *onceRun)
	// complete requires the final outcome to be complete.
	complete bool
}

// resetBytes is more than the header of a request, so that the reset comes after the
// request was written.
const resetBytes = 700

var onceCases = []onceCase{
	{name: "01 resubmitted at once", complete: true},
	{name: "02 resubmitted while it runs", complete: true, during: func(*onceRun) {}},
	{name: "03 entry box killed", complete: true, during: func(r *onceRun) { r.entries[0].kill() }},
	{name: "04 home killed", during: func(r *onceRun) { r.agents[r.home].kill() },
		after: func(r *onceRun) { r.removeBox(r.agents[r.home].name) }},
	{name: "05 home killed and restarted", during: func(r *onceRun) {
		r.agents[r.home].kill()
		r.agents[r.home].restart()
	}},
	{name: "06 home frozen and woken", during: func(r *onceRun) { r.agents[r.home].freeze() },
		after: func(r *onceRun) { r.agents[r.home].thaw() }},
	{name: "07 another agent frozen and woken", during: func(r *onceRun) {
		r.awaitOther()
		r.agents[(r.home+1)%3].freeze()
	},
		after: func(r *onceRun) { r.agents[(r.home+1)%3].thaw() }},
	{name: "08 another agent killed", during: func(r *onceRun) {
		r.awaitOther()
		r.agents[(r.home+1)%3].kill()
	}},
	{name: "09 home cut off", during: func(r *onceRun) { r.agents[r.home].proxy.set(faults{CutUp: true, CutDown: true}) },
		after: func(r *onceRun) {
			r.agents[r.home].proxy.breakAll()
			r.agents[r.home].proxy.release()
		}},
	{name: "10 answers of the home cut off", during: func(r *onceRun) { r.agents[r.home].proxy.set(faults{CutDown: true}) },
		after: func(r *onceRun) {
			r.agents[r.home].proxy.breakAll()
			r.agents[r.home].proxy.release()
		}},
	{name: "11 connections to all agents broken", complete: true, during: func(r *onceRun) {
		for _, a := range r.agents {
			a.proxy.breakAll()
		}
	}},
	{name: "12 caller reset after the write", complete: true,
		before: func(r *onceRun) { r.entries[0].proxy.set(faults{ResetAfterUp: resetBytes}) },
		after:  func(r *onceRun) { r.entries[0].proxy.release() }},
	{name: "13 answer to the caller lost", complete: true,
		before: func(r *onceRun) { r.entries[0].proxy.set(faults{ResetOnDown: true}) },
		after:  func(r *onceRun) { r.entries[0].proxy.release() }},
	{name: "14 target reset after the write",
		before: func(r *onceRun) { r.targets[r.home].proxy.set(faults{ResetAfterUp: resetBytes}) },
		after:  func(r *onceRun) { r.targets[r.home].proxy.release() }},
	{name: "15 target's answer lost",
		before: func(r *onceRun) { r.targets[r.home].proxy.set(faults{ResetOnDown: true}) },
		after:  func(r *onceRun) { r.targets[r.home].proxy.release() }},
	{name: "16 requests delivered twice", complete: true,
		before: func(r *onceRun) {
			for _, e := range r.entries {
				e.proxy.set(faults{Duplicate: true})
			}
			for _, a := range r.agents {
				a.proxy.breakAll()
				a.proxy.set(faults{Duplicate: true})
			}
		}},
	{name: "17 platform down", complete: true, before: func(r *onceRun) { r.platformFaults(standin.PlatformFaults{Down: true}) },
		after: func(r *onceRun) { r.platformFaults(standin.PlatformFaults{}) }},
}

// TestOnceJob sends a job of many tasks under faults, several times under the same id
// through both entry boxes. No task may start twice.
func TestOnceJob(t *testing.T) {
	for _, tc := range onceCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runOnce(t, tc, 16)
		})
	}
}

// TestOnceSingle is TestOnceJob with a single task of a kind that is not repeatable.
func TestOnceSingle(t *testing.T) {
	for _, tc := range onceCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runOnce(t, tc, 1)
		})
	}
}

func runOnce(t *testing.T, tc onceCase, tasks int) {
	c := newCluster(t, shape{entries: 2, agents: 3, slots: 4, proxies: true})
	r := &onceRun{cluster: c, job: newJob(t, "swap", tasks, 200), first: c.client(tokenA, 0)}
	r.id = c.id(r.first)
	r.home = c.homeOf(r.id)
	if tc.before != nil {
		tc.before(r)
	}
	ctx, cancel := context.WithCancel(c.context())
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = c.client(tokenA, i).Submit(ctx, r.id, r.job)
		}()
	}
	if tc.during != nil {
		c.awaitStarts(r.job, 1)
		tc.during(r)
	}
	// Resubmit once during the fault; this may fail.
	brief, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
	_, _ = c.client(tokenA, 1).Submit(brief, r.id, r.job)
	stop()
	if tc.after != nil {
		tc.after(r)
	}
	reply, err := c.client(tokenA, 1).Submit(c.context(), r.id, r.job)
	cancel()
	wg.Wait()
	if err != nil {
		t.Fatal(err)
	}
	checkFinal(t, c, r.job, reply, tc.complete)
	again, err := c.client(tokenA, 1).Submit(c.context(), r.id, r.job)
	if err != nil || again.Outcome() != reply.Outcome() {
		t.Errorf("the answer changed: %s, then %s (%v)", reply.Outcome(), again.Outcome(), err)
	}
	c.awaitIdle()
	c.checkOnce(r.job)
}

// checkFinal checks that the outcome is final: complete, or, unless complete is
// required, failed, or not-run if no task has started.
func checkFinal(t *testing.T, c *cluster, job *api.Job, r *caller.Reply, complete bool) {
	t.Helper()
	switch {
	case r.Outcome() == api.Complete:
		checkComplete(t, job, r)
	case complete:
		t.Errorf("not complete: %+v", r.Problem)
	case r.Outcome() == api.NotRun:
		c.checkNever(job)
	case r.Outcome() != api.Failed:
		t.Errorf("no final outcome: %+v", r.Problem)
	}
}

// TestOnceAgentRestart kills an agent while its target runs tasks. The restarted agent
// must not send tasks to slots that are still in use.
func TestOnceAgentRestart(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 4})
	long := newJob(t, "reshuffle", 4, 1500)
	client := c.client(tokenA, 0)
	id := c.id(client)
	go func() { _, _ = client.Submit(c.context(), id, long) }()
	c.awaitStarts(long, 4)
	c.targetFaults(0, standin.TargetFaults{UsageLagMS: 1000})
	c.agents[0].kill()
	c.agents[0].restart()
	job := newJob(t, "reshuffle", 4, 50)
	var reply *caller.Reply
	waitFor(t, "the restarted agent accepts a job as its home", func() bool {
		r, err := client.Submit(c.context(), c.id(client), job)
		if err != nil {
			return false
		}
		reply = r
		// Until the entry box notices the restart, its ids name the dead incarnation.
		return r.Problem == nil || r.Problem.Reason != "home-lost"
	})
	checkComplete(t, job, reply)
	c.checkOnce(long)
	c.checkOnce(job)
}
