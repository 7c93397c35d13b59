package test

import (
	"testing"
	"time"

	"rackspur/api"
	"rackspur/internal/standin"
)

// TestWholeOrFailed injects a fault at one of several targets that run a job. The job
// must be answered as failed, with the right reason and the state of each task.
func TestWholeOrFailed(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(c *cluster)
		reason string
	}{
		{"1 half an answer", func(c *cluster) { c.targetFaults(1, standin.TargetFaults{Answer: standin.AnswerHalf}) }, "task-failed"},
		{"2 another task's result", func(c *cluster) { c.targetFaults(1, standin.TargetFaults{Answer: standin.AnswerWrong}) }, "task-failed"},
		{"3 no answer", func(c *cluster) { c.targetFaults(1, standin.TargetFaults{Answer: standin.AnswerNone}) }, "task-failed"},
		{"4 an error", func(c *cluster) { c.targetFaults(1, standin.TargetFaults{Answer: standin.AnswerError}) }, "task-failed"},
		{"5 target stopped", func(c *cluster) { c.targetFaults(1, standin.TargetFaults{Stopped: true}) }, "task-failed"},
		{"6 straggler past its lease", func(c *cluster) { c.targetFaults(1, standin.TargetFaults{Slow: 5000}) }, "task-failed"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{entries: 1, agents: 3, slots: 8})
			tc.fault(c)
			job := newJob(t, "short", 24, 100)
			client := c.client(tokenA, 0)
			reply, err := client.Submit(c.context(), c.id(client), job)
			if err != nil {
				t.Fatal(err)
			}
			if reply.Outcome() != api.Failed || reply.Problem.Reason != tc.reason {
				t.Fatalf("want failed for %s: %+v", tc.reason, reply.Problem)
			}
			checkTaskStates(t, c, job, reply.Problem)
		})
	}
}

// checkTaskStates checks the task states in a failure against the start logs.
func checkTaskStates(t *testing.T, c *cluster, job *api.Job, p *api.Problem) {
	t.Helper()
	if len(p.Results) != len(job.Tasks) {
		t.Fatalf("%d of %d tasks listed", len(p.Results), len(job.Tasks))
	}
	for i, n := range c.startsOf(job) {
		if p.Results[i].Status == api.TaskNotStarted && n > 0 {
			t.Errorf("task %d is listed as not started but started %d times", i, n)
		}
		if n > 1 {
			t.Errorf("task %d started %d times", i, n)
		}
	}
}

// TestWholeAgentKilled kills an agent that runs part of a job of 380 tasks. The job must
// fail long before its lease or deadline expires.
func TestWholeAgentKilled(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 4, slots: 8})
	client := c.client(tokenA, 0)
	id := c.id(client)
	victim := (c.homeOf(id) + 1) % 4
	job := newJob(t, "patient", 380, 200)
	job.DeadlineMS = 20000
	type answer struct {
		outcome api.Outcome
		problem *api.Problem
		at      time.Time
	}
	got := make(chan answer, 1)
	go func() {
		reply, err := client.Submit(c.context(), id, job)
		if err != nil {
			close(got)
			return
		}
		got <- answer{reply.Outcome(), reply.Problem, time.Now()}
	}()
	c.awaitStarts(job, 32)
	killed := time.Now()
	c.agents[victim].kill()
	a := <-got
	if a.outcome != api.Failed {
		t.Fatalf("want failed: %+v", a)
	}
	gap := a.at.Sub(killed)
	t.Logf("failed %s after the kill, deadline %d ms", gap, job.DeadlineMS)
	if gap > time.Duration(job.DeadlineMS)*time.Millisecond/2 {
		t.Errorf("the failure was answered only %s after the kill", gap)
	}
	c.awaitIdle()
	checkTaskStates(t, c, job, a.problem)
}

// TestWholeStraggler submits a job of 380 tasks of which one exceeds its lease.
func TestWholeStraggler(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 4, slots: 8})
	job := newJob(t, "short", 379, 50)
	slow := newJob(t, "short", 1, 5000)
	job.Tasks = append(job.Tasks, slow.Tasks...)
	client := c.client(tokenA, 0)
	reply, err := client.Submit(c.context(), c.id(client), job)
	if err != nil {
		t.Fatal(err)
	}
	if reply.Outcome() != api.Failed {
		t.Fatalf("want failed: %+v", reply.Answer)
	}
	checkTaskStates(t, c, job, reply.Problem)
}

// TestWholeAfterGivingUp lets a job reach its deadline while its tasks still run and
// occupy their slots. The next job must wait for the slots instead of failing.
func TestWholeAfterGivingUp(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 4})
	client := c.client(tokenA, 0)
	long := newJob(t, "reshuffle", 4, 1000)
	long.DeadlineMS = 300
	reply, err := client.Submit(c.context(), c.id(client), long)
	if err != nil || reply.Outcome() != api.Failed || reply.Problem.Reason != "deadline" {
		t.Fatalf("want failed for deadline: %v %+v", err, reply)
	}
	job := newJob(t, "reshuffle", 4, 20)
	reply, err = client.Submit(c.context(), c.id(client), job)
	if err != nil {
		t.Fatal(err)
	}
	checkComplete(t, job, reply)
}

// TestWholeAfterLeases runs tasks beyond their leases. Their slots must stay unused
// until the target has ended them, and the next job must complete.
func TestWholeAfterLeases(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 4})
	client := c.client(tokenA, 0)
	for range 5 {
		slow := newJob(t, "short", 4, 5000)
		if reply, err := client.Submit(c.context(), c.id(client), slow); err != nil || reply.Outcome() != api.Failed {
			t.Fatalf("want failed: %v %+v", err, reply)
		}
		job := newJob(t, "reshuffle", 4, 20)
		reply, err := client.Submit(c.context(), c.id(client), job)
		if err != nil {
			t.Fatal(err)
		}
		checkComplete(t, job, reply)
	}
}
