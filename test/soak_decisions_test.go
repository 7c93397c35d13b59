package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// Settings that a soak gives to some of its entries and agents; the others run with the defaults.
var (
	decisionArgs = []string{"--placement=speed", "--load-view=shared", "--shares=fair", "--retry-after-max=10s"}
	moveArgs     = []string{"--leaving=move"}
)

// Bounds of the Retry-After value of refusals, in seconds.
const (
	minRetryAfter     = 1
	usualRetryAfter   = 1  // the default of --retry-after-max
	longestRetryAfter = 10 // as in decisionArgs
)

// decisionSettings names the entries and agents of a soak that run with the settings of the
// decisions under load.
type decisionSettings struct {
	entries, agents []int
}

// soakDecisions draws the entries and agents with the settings. At least one of each role has them
// and one has not, as during a rolling change.
func soakDecisions(seed uint64, entries, agents int) decisionSettings {
	random := rand.New(rand.NewPCG(seed, decisionsPart))
	some := func(n int) []int { return random.Perm(n)[:1+random.IntN(n-1)] }
	return decisionSettings{entries: some(entries), agents: some(agents)}
}

func (s decisionSettings) entryArgs(i int) []string {
	if slices.Contains(s.entries, i) {
		return decisionArgs
	}
	return nil
}

func (s decisionSettings) agentArgs(i int) []string {
	if slices.Contains(s.agents, i) {
		return moveArgs
	}
	return nil
}

// Times of targets that are slow for a while or leave with notice. No event lasts longer than
// longestFault.
const (
	slowMinPauseMS, slowPauseSpreadMS       = 300, 1200
	slowMinMS, slowSpreadMS                 = 300, 1700
	leavingMinPauseMS, leavingPauseSpreadMS = 500, 1500
	noticeMinMS, noticeSpreadMS             = 100, 1900
	// Half of the notices are shorter than many short tasks, which are then moved.
	shortNoticeSpreadMS = 150
	leftDownSpreadMS    = 400
)

// slowSpeeds are the speeds of targets that are slow or fast for a while.
var slowSpeeds = []float64{0.45, 0.55, 1.3}

// changeSpeeds gives one target after another another speed for a time, until end.
func (r *soakRun) changeSpeeds(end time.Time) {
	random := r.randomFor(speedsPart)
	for {
		pause(milliseconds(slowMinPauseMS + random.IntN(slowPauseSpreadMS)))
		m, speed := r.agents[random.IntN(len(r.agents))], slowSpeeds[random.IntN(len(slowSpeeds))]
		lasts := milliseconds(slowMinMS + random.IntN(slowSpreadMS))
		if time.Now().After(end) {
			return
		}
		r.note("the target of %s has speed %v for %v", m.name, speed, lasts)
		r.setSpeed(m, speed)
		pause(lasts)
		r.setSpeed(m, 1)
	}
}

// leaveInTurn makes one target after another leave with notice, until end. Another one takes its
// place under an id of its own.
func (r *soakRun) leaveInTurn(end time.Time) {
	random := r.randomFor(leavingPart)
	for {
		pause(milliseconds(leavingMinPauseMS + random.IntN(leavingPauseSpreadMS)))
		m, notice := r.agents[random.IntN(len(r.agents))], milliseconds(noticeMinMS+random.IntN(noticeSpreadMS))
		if short := milliseconds(noticeMinMS + random.IntN(shortNoticeSpreadMS)); random.IntN(2) == 0 {
			notice = short
		}
		down := milliseconds(random.IntN(leftDownSpreadMS))
		if time.Now().After(end) {
			return
		}
		r.note("the target of %s leaves within %v, down for %v", m.name, notice, down)
		e := m.life()
		ended := m.leave(notice)
		if beat, ok := e.NextHeartbeat(); ok {
			// It may get lost, or the agent may be down; further heartbeats follow.
			go func() { _ = m.port.SendHeartbeat(context.Background(), m.ip+":"+platformControlPort, beat) }()
		}
		<-ended
		pause(down)
		r.replaceLeft(m, e)
	}
}

// setSpeed sets the speed of a box's target, which its later lives keep.
func (d *deployment) setSpeed(m *box, speed float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.life().SetSpeed(speed)
}

// replaceLeft starts another target in place of one that has left, unless a fault has already
// done that. It doesn't count as a life, so that the clocks of those that newLife starts don't
// depend on it.
func (d *deployment) replaceLeft(m *box, left incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.life() != left {
		return
	}
	d.replaced++
	d.startLife(m, fmt.Sprintf("l-%d", d.replaced), m.drift())
}

// checkRetryAfter checks the Retry-After value of an answer if it is a refusal.
func (m *box) checkRetryAfter(res *http.Response) {
	if res.StatusCode != http.StatusServiceUnavailable {
		return
	}
	longest := max(m.longestRetryAfter, usualRetryAfter)
	value := res.Header.Get("Retry-After")
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < minRetryAfter || seconds > longest {
		m.t.Errorf("%s: %s refuses a %s with Retry-After %q, want %d to %d", m.t.Name(), m.name, res.Request.Method, value, minRetryAfter, longest)
		return
	}
	m.refusals.Add(1)
	for {
		seen := m.retryAfter.Load()
		if int64(seconds) <= seen || m.retryAfter.CompareAndSwap(seen, int64(seconds)) {
			return
		}
	}
}

// noteRefusedOnce records a job that was submitted once and refused.
func (r *soakRun) noteRefusedOnce(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedOnce = append(r.refusedOnce, id)
}

// checkRefusedOnce checks that none of the jobs of noteRefusedOnce has run.
func (r *soakRun) checkRefusedOnce(byJob map[string]map[job.TaskName][]standin.Span) {
	for _, id := range r.refusedOnce {
		if tasks := byJob[id]; len(tasks) > 0 {
			r.t.Errorf("seed %d: job %s was refused but ran: %v", r.seed, id, tasks)
		}
	}
}

// leavingMove is a task that an owner has moved because its target leaves.
type leavingMove struct {
	entry, job, task string
	// generation is the job's owner; best-effort jobs have one only.
	generation int
}

// movedLine matches the line that an owner logs when it moves a run off a leaving target.
var movedLine = regexp.MustCompile(`"Run can't end before its target leaves and is moved\." .*"job"="([^"]*)" "task"=(\d+) "run"=(\d+) "gate"="([^"]*)"`)

// loggedMove is a move as an owner has logged it.
type loggedMove struct {
	leavingMove
	agent, line string
}

// leavingMoves returns the moves off leaving targets that an entry has logged.
func leavingMoves(e *box) (moves []loggedMove) {
	for _, found := range movedLine.FindAllStringSubmatch(e.log.String(), -1) {
		run, _ := strconv.Atoi(found[3])
		generation := (run - job.FirstRun(0)) / (job.FirstRun(1) - job.FirstRun(0))
		moves = append(moves, loggedMove{leavingMove{entry: e.name, job: found[1], task: found[2], generation: generation}, found[4], found[0]})
	}
	return moves
}

// checkMoves checks that no owner has moved a task more than once because its target leaves, and
// only on the report of an agent with the setting. A best-effort job that was submitted to an entry
// again is another job there.
func (r *soakRun) checkMoves() {
	submitted := map[string]int{}
	for _, j := range r.jobs {
		for i := range j.tries {
			if j.bestEffort {
				submitted[r.entries[(j.first+i)%len(r.entries)].name+j.id]++
			}
		}
	}
	moves := map[leavingMove]int{}
	for _, e := range r.entries {
		for _, logged := range leavingMoves(e) {
			if i := slices.IndexFunc(r.agents, func(m *box) bool { return m.name == logged.agent }); !slices.Contains(r.decisions.agents, i) {
				r.t.Errorf("seed %d: %s moves a run off %s, which doesn't have %v: %s", r.seed, e.name, logged.agent, moveArgs, logged.line)
			}
			move := logged.leavingMove
			moves[move]++
			if moves[move] > max(1, submitted[move.entry+move.job]) {
				r.t.Errorf("seed %d: a task was moved off leaving targets %d times: %s", r.seed, moves[move], logged.line)
			}
		}
	}
	for _, e := range r.entries {
		r.t.Logf("%s: %d refusals, longest Retry-After %d s", e.name, e.refusals.Load(), e.retryAfter.Load())
	}
	r.t.Logf("%d tasks moved off leaving targets", len(moves))
}

// Guards against a task that is moved off each leaving target in turn, and so makes no progress,
// and against a log line that checkMoves no longer recognises.
func TestTaskMovesOffLeavingTargetOnce(t *testing.T) {
	const lasts, notice = 2500 * time.Millisecond, 800 * time.Millisecond
	d := &deployment{t: t, bounds: usualBounds, decisions: decisionSettings{agents: []int{0, 1}}}
	d.begin(1, 2)
	e, id := d.entries[0], longID(1, lasts)
	waitFor(t, "the job is accepted", func() bool {
		status, _ := e.ask(http.MethodPost, id, platformJobOf(1, false, lasts))
		return status == http.StatusOK
	})
	for leaving := 1; leaving <= 2; leaving++ {
		var m *box
		waitFor(t, fmt.Sprintf("run %d is in progress", leaving), func() bool {
			m = d.runsAt(job.ID(id))
			return m != nil
		})
		left := m.port.Executor()
		ended := m.port.Leave(notice)
		if leaving == 1 {
			waitFor(t, "the task is moved", func() bool { return len(leavingMoves(e)) == 1 })
		}
		<-ended
		d.replaceLeft(m, left)
	}
	waitFor(t, "the job is completed", func() bool {
		_, state := e.ask(http.MethodGet, id, nil)
		return job.State(state) == job.StateCompleted
	})
	if moves := leavingMoves(e); len(moves) != 1 {
		t.Errorf("the task was moved %d times, want once: %+v", len(moves), moves)
	}
	ends := map[gate.EndKind]int{}
	for _, s := range d.spans()[job.TaskName{Job: job.ID(id)}] {
		ends[s.End]++
	}
	if ends[gate.EndStopped] != 1 || ends[gate.EndLost] != 1 || ends[gate.EndDone] != 1 {
		t.Errorf("ends by kind %v, want one each of stopped, lost and done", ends)
	}
}

// runsAt returns the agent at whose target a run of a job with one task is in progress, or nil.
func (d *deployment) runsAt(id job.ID) *box {
	for _, m := range d.agents {
		for _, s := range m.port.Executor().Journal() {
			if s.Name.Job == id && s.End == 0 {
				return m
			}
		}
	}
	return nil
}

// Guards against seeds with which all processes of a role run with the settings, or none.
func TestSoakDecisions(t *testing.T) {
	for seed := range uint64(200) {
		s := soakDecisions(seed, 3, 4)
		if n := len(s.entries); n < 1 || n > 2 {
			t.Errorf("seed %d: %d of 3 entries have the settings", seed, n)
		}
		if n := len(s.agents); n < 1 || n > 3 {
			t.Errorf("seed %d: %d of 4 agents have the settings", seed, n)
		}
	}
}
