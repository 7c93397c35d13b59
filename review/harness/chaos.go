package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
)

// Times and sizes of a chaos play.
const (
	chaosTraffic = 25 * time.Second
	chaosCalm    = 6 * time.Second
	chaosPause   = 60 * time.Millisecond
	chaosAgents  = 6
	focusAgents  = 4
)

// Kinds of disruptions of a chaos play, as chaosFaults numbers them; focusKinds are kills and orderly
// stops of entries, crashes of executors, and cuts.
var (
	chaosKinds = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	focusKinds = []int{0, 1, 5, 6, 7, 7, 7, 10}
)

// focused reports whether a chaos play has fewer agents and only focusKinds.
func focused() bool { return os.Getenv("REVIEW_FOCUS") == "1" }

// chaosJob is a job of a chaos play.
type chaosJob struct {
	id         string
	bestEffort bool
	steps      []map[string]any
	mu         sync.Mutex
	accepted   time.Time
	answered   bool
	unanswered bool
	refused    bool
	cancelled  time.Time
	cancelSent time.Time
	// gone is set if the job was answered 410 later than visible_ms after it was accepted.
	gone  bool
	state string
}

// chaos plays random jobs of all supported forms with random disruptions, and checks the rules on jobs
// that can be checked without bounds. REVIEW_SEED selects the play, REVIEW_FOCUS=1 makes it a focused
// one. It is a search, not a case.
func chaos(log *record, trouble bool) (string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("REVIEW_SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	work := func(n job.RunName) (time.Duration, gate.EndKind) {
		mix := rand.New(rand.NewPCG(uint64(n.Index)*7919+uint64(n.Step)*104729, hashText(string(n.Job))))
		lasts := time.Duration(40+mix.IntN(500)) * time.Millisecond
		if mix.IntN(12) == 0 {
			lasts = time.Duration(2000+mix.IntN(3000)) * time.Millisecond
		}
		if mix.IntN(15) == 0 && n.Run%1000 <= 1 {
			return lasts / 2, gate.EndFailed
		}
		return lasts, gate.EndDone
	}
	agents, kinds := chaosAgents, chaosKinds
	if focused() {
		agents, kinds = focusAgents, focusKinds
	}
	var plans []agentPlan
	for i := range agents {
		plans = append(plans, agentPlan{labels: []string{[]string{"a", "b"}[i%2], fmt.Sprintf("r1-%d", 1+i/rackSize)}, work: work})
	}
	w, err := newWorld(log, siteEntries, plans)
	defer w.close()
	if err != nil {
		return "", err
	}
	end := time.Now().Add(chaosTraffic)
	var all []*chaosJob
	var callers, faults sync.WaitGroup
	if trouble {
		faults.Go(func() { w.chaosFaults(rand.New(rand.NewPCG(seed, 2)), kinds, end) })
		faults.Go(func() { w.chaosFaults(rand.New(rand.NewPCG(seed, 3)), kinds, end) })
	}
	for n := 100; time.Now().Before(end); n++ {
		j := drawJob(random, newID(n))
		all = append(all, j)
		first := random.IntN(len(w.entries))
		cancel := random.IntN(7) == 0
		callers.Go(func() { w.play(j, first, cancel) })
		time.Sleep(chaosPause)
	}
	callers.Wait()
	faults.Wait()
	log.add("case", "calm")
	time.Sleep(chaosCalm)
	w.awaitEnds(all)
	time.Sleep(2 * time.Second)
	return w.chaosBroken(all), nil
}

func hashText(s string) (h uint64) {
	for _, c := range s {
		h = h*31 + uint64(c)
	}
	return h
}

// drawJob draws a job.
func drawJob(random *rand.Rand, id string) *chaosJob {
	j := &chaosJob{id: id, bestEffort: random.IntN(4) == 0}
	for s := range 1 + random.IntN(3) {
		step := stepOf(1+random.IntN(3), 300*time.Millisecond, "")
		if random.IntN(4) == 0 {
			step["requires"] = []string{"a", "b"}[random.IntN(2)]
		}
		if random.IntN(4) == 0 {
			step["antiAffinity"] = 1
		}
		if random.IntN(4) == 0 {
			step["checkpointing"] = true
		}
		if s > 0 && random.IntN(2) == 0 {
			step["afterRev"] = []int{random.IntN(s)}
		}
		j.steps = append(j.steps, step)
	}
	return j
}

// play hands a job in, and maybe cancels it.
func (w *world) play(j *chaosJob, first int, cancel bool) {
	body := jobWith(j.steps...)
	if j.bestEffort {
		body = append([]byte(`{"bestEffort":true,`), body[1:]...)
	}
	for try := range 8 {
		status, state := w.entries[(first+try)%len(w.entries)].ask(http.MethodPost, j.id, body)
		j.mu.Lock()
		switch {
		case status/100 == 2:
			j.accepted, j.answered, j.state = time.Now(), true, state
		case status == 503 || status == 429:
			j.refused = true
		default:
			j.unanswered = true
		}
		j.mu.Unlock()
		if status/100 == 2 {
			break
		}
		time.Sleep(retransmit)
	}
	if !j.answered || j.bestEffort {
		return
	}
	if rand.IntN(4) == 0 {
		// The same id is sent again seconds after its 2xx; it remains one job.
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
		w.entries[rand.IntN(len(w.entries))].ask(http.MethodPost, j.id, body)
	}
	if rand.IntN(4) == 0 {
		time.Sleep(visibleTime)
		if status, _ := w.entries[rand.IntN(len(w.entries))].ask(http.MethodGet, j.id, nil); status == 410 {
			j.mu.Lock()
			j.gone = true
			j.mu.Unlock()
		}
	}
	if !cancel {
		return
	}
	time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
	j.mu.Lock()
	j.cancelSent = time.Now()
	j.mu.Unlock()
	for try := range 20 {
		status, _ := w.entries[(first+try)%len(w.entries)].ask(http.MethodDelete, j.id, nil)
		if status/100 == 2 || status == 410 {
			j.mu.Lock()
			j.cancelled = time.Now()
			j.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// awaitEnds asks for the states of all kept jobs until they have ended or finish_s has passed.
func (w *world) awaitEnds(all []*chaosJob) {
	for end := time.Now().Add(finishTime); time.Now().Before(end); time.Sleep(time.Second) {
		open := 0
		for i, j := range all {
			if !j.answered || j.bestEffort || job.State(j.state).Final() {
				continue
			}
			status, state := w.entries[i%len(w.entries)].ask(http.MethodGet, j.id, nil)
			if status == 410 {
				state = "unknown"
			}
			j.state = state
			if !job.State(state).Final() {
				open++
			}
		}
		if open == 0 {
			return
		}
	}
}

// chaosFaults plays random disruptions, one after the other, until a time.
func (w *world) chaosFaults(random *rand.Rand, kinds []int, end time.Time) {
	between := func(least, most int) time.Duration {
		return time.Duration(least+random.IntN(most-least)) * time.Millisecond
	}
	for time.Now().Before(end) {
		time.Sleep(between(200, 1500))
		entry, agent := w.entries[random.IntN(len(w.entries))], w.agents[random.IntN(len(w.agents))]
		switch kinds[random.IntN(len(kinds))] {
		case 0, 1:
			w.chaosKill(entry, between(100, 3000))
		case 2:
			w.chaosKill(agent, between(50, 3000))
		case 3:
			w.chaosFreeze(entry, between(300, 4000))
		case 4:
			w.chaosFreeze(agent, between(300, 4000))
		case 5, 6:
			if !agent.busy.TryLock() {
				continue
			}
			agent.target.crash()
			time.Sleep(between(50, 2500))
			agent.target.restart(agent.target.current().labels)
			agent.busy.Unlock()
		case 7:
			w.log.add("fault", "%s is cut off", agent.node)
			agent.proxy.setCut(true)
			time.Sleep(between(300, 4500))
			w.log.add("fault", "%s is not cut off any more", agent.node)
			agent.proxy.setCut(false)
		case 8:
			w.log.add("fault", "%s is reached late", agent.node)
			agent.proxy.setDelay(between(50, 900))
			time.Sleep(between(300, 3000))
			agent.proxy.setDelay(0)
		case 9:
			kind := []rowstore.Fault{rowstore.FaultLoseAnswer, rowstore.FaultRefuse, rowstore.FaultSilent, rowstore.FaultLoseCall}[random.IntN(4)]
			odds := 1 + random.IntN(3)
			w.log.add("fault", "the store has fault %d, one call in %d", kind, odds)
			w.store.SetFault(func(rowstore.Call) rowstore.Fault {
				if rand.IntN(odds) == 0 {
					return kind
				}
				return rowstore.FaultNone
			})
			time.Sleep(between(300, 3500))
			w.store.SetFault(nil)
			w.log.add("fault", "the store is sound")
		case 10:
			if !entry.busy.TryLock() {
				continue
			}
			entry.stopInOrder()
			entry.busy.Unlock()
		case 11:
			if !agent.busy.TryLock() {
				continue
			}
			agent.stopInOrder()
			agent.busy.Unlock()
		case 12:
			down := between(100, 2500)
			var all sync.WaitGroup
			for _, m := range w.entries {
				all.Go(func() { w.chaosKill(m, down) })
			}
			all.Wait()
		case 13:
			down := between(100, 2500)
			var all sync.WaitGroup
			for _, m := range slices.Concat(w.entries, w.agents) {
				all.Go(func() { w.chaosKill(m, down) })
			}
			all.Wait()
		case 15, 16:
			odds := 1 + random.IntN(3)
			w.log.add("fault", "the store carries out one write in %d late and unanswered", odds)
			w.lateOdds.Store(int64(odds))
			time.Sleep(between(300, 4500))
			w.lateOdds.Store(0)
			w.log.add("fault", "the store is in time")
		case 14:
			if !agent.busy.TryLock() {
				continue
			}
			w.log.add("fault", "the executor of %s drains", agent.node)
			ended := agent.target.port.Leave(between(2200, 4000))
			agent.target.beatNow()
			<-ended
			agent.target.restart(agent.target.current().labels)
			agent.busy.Unlock()
		}
	}
}

func (w *world) chaosKill(m *machine, down time.Duration) {
	if !m.busy.TryLock() {
		return
	}
	defer m.busy.Unlock()
	m.kill()
	time.Sleep(down)
	_ = m.restart()
}

// stopInOrder ends the process as the platform does, and starts it again.
func (m *machine) stopInOrder() {
	m.world.log.add("fault", "%s is stopped", m.node)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(6 * time.Second):
		m.end()
	}
	_ = m.restart()
}

func (w *world) chaosFreeze(m *machine, d time.Duration) {
	if !m.busy.TryLock() {
		return
	}
	defer m.busy.Unlock()
	w.log.add("fault", "%s freezes", m.node)
	m.signal(syscall.SIGSTOP)
	time.Sleep(d)
	m.signal(syscall.SIGCONT)
	w.log.add("fault", "%s wakes", m.node)
}

// chaosBroken checks the rules on all jobs and returns the first that is broken.
func (w *world) chaosBroken(all []*chaosJob) (broken string) {
	found := func(format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		w.log.add("found", "%s", text)
		if broken == "" {
			broken = text
		}
	}
	counts := map[string]int{}
	for _, j := range all {
		runs := w.runsOf(j.id)
		counts[fmt.Sprintf("%v %q", j.bestEffort, j.state)]++
		if len(runs) > 0 && !j.answered && !j.unanswered {
			found("REFUSED: job %s started although each attempt was refused", j.id)
		}
		done := map[job.TaskName]time.Time{}
		for i, a := range runs {
			if a.End == gate.EndDone {
				if at, ok := done[a.Name.TaskName]; !ok || a.Ended.Before(at) {
					done[a.Name.TaskName] = a.Ended
				}
			}
			for _, b := range runs[i+1:] {
				if a.Name.TaskName != b.Name.TaskName {
					continue
				}
				if a.End == 0 || a.Ended.After(b.Started) {
					found("TWICE: %s runs %d and %d at the same time on %s and %s", taskText(a.Name), a.Name.Run, b.Name.Run, a.node, b.node)
				}
				if !j.bestEffort && a.End == gate.EndDone && a.Noted && b.Started.After(a.Ended) {
					found("TWICE: %s run %d (%s) started after run %d had ended done (%s) and was noted", taskText(a.Name), b.Name.Run, b.node, a.Name.Run, a.node)
				}
			}
		}
		for i, a := range runs {
			step := j.steps[a.Name.Step]
			if label, ok := step["requires"].(string); ok && !slices.Contains(a.labels, label) {
				found("ROUTE: %s on %v, requires %s", taskText(a.Name), a.labels, label)
			}
			after, _ := step["afterRev"].([]int)
			for _, earlier := range after {
				for index := range j.steps[earlier]["count"].(int) {
					n := job.TaskName{Job: a.Name.Job, Step: earlier, Index: index}
					if at, ok := done[n]; !ok || at.After(a.Started) {
						found("ORDER: %s run %d started before %v was done", taskText(a.Name), a.Name.Run, n)
					}
				}
			}
			same, failed := 0, 0
			for k, b := range runs {
				if k < i && b.Name.Step == a.Name.Step && b.node == a.node && b.Life == a.Life && (b.End == 0 || b.Ended.After(a.Started)) {
					same++
				}
				if k < i && b.Name.TaskName == a.Name.TaskName && b.End == gate.EndFailed && b.Noted && b.Ended.Before(a.Started) {
					failed++
				}
			}
			if step["antiAffinity"] == 1 && same > 0 {
				found("ROUTE: %s run %d beside %d others of its step on %s", taskText(a.Name), a.Name.Run, same, a.node)
			}
			if !j.bestEffort && failed >= attempts {
				found("BUDGET: %s run %d started after %d had failed", taskText(a.Name), a.Name.Run, failed)
			}
			if !j.cancelled.IsZero() && a.Started.After(j.cancelled.Add(cancelTime)) {
				found("UNASKED: %s run %d started %.1f s after the cancelling", taskText(a.Name), a.Name.Run, a.Started.Sub(j.cancelled).Seconds())
			}
			if a.End == 0 {
				found("RUNNING: %s run %d still runs, job %s cancelled %v", taskText(a.Name), a.Name.Run, j.state, j.cancelled)
			}
		}
		if j.gone {
			found("LOST: accepted job %s was answered 410", j.id)
		}
		if !j.answered || j.bestEffort {
			continue
		}
		switch j.state {
		case "completed":
			for s, step := range j.steps {
				for index := range step["count"].(int) {
					n := job.TaskName{Job: job.ID(j.id), Step: s, Index: index}
					if _, ok := done[n]; !ok {
						found("MIXED: job %s is completed but %v has not ended done", j.id, n)
					}
				}
			}
		case "failed":
			worst := map[job.TaskName]int{}
			most := 0
			for _, a := range runs {
				if a.End == gate.EndFailed {
					worst[a.Name.TaskName]++
					most = max(most, worst[a.Name.TaskName])
				}
			}
			if most < attempts {
				found("LOST: job %s is failed after %d failed runs", j.id, most)
			}
		case "cancelled":
			if j.cancelSent.IsZero() {
				found("LOST: job %s is cancelled without a cause", j.id)
			}
		default:
			found("LOST: job %s is %q, cancelled %v", j.id, j.state, j.cancelled)
		}
	}
	w.log.add("check", "%d jobs by best effort and state: %v", len(all), counts)
	return broken
}
