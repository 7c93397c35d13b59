package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
	"rackspur/rowstore"
)

// Settings of the soak by environment.
const (
	soakSeedVariable    = "RACKSPUR_SOAK_SEED"
	soakSeedsVariable   = "RACKSPUR_SOAK_SEEDS"
	soakSecondsVariable = "RACKSPUR_SOAK_SECONDS"
	soakRoundsVariable  = "RACKSPUR_SOAK_ROUNDS"
)

// soakSeeds are played in each run: one without a known failure, and each that
// has ever failed, with its cause.
var soakSeeds = []uint64{
	1,             // no failure known
	1064252533387, // SIGHUP right after a start ended the process: it was not caught yet
	1074007552760, // a silent connection to the store left an entry without changes for 22 s
	25474278447,   // the same
}

// Times of the soak.
const (
	soakResend   = 1400 * time.Millisecond
	soakCancel   = 3 * time.Second
	soakTries    = 12
	soakCallers  = 24
	soakJobPause = 15 * time.Millisecond
	// soakChange is the time between two changes of the configuration.
	soakChange = time.Second
	// soakInForce is the time in which the newest configuration is in force at all
	// entries once the faults have ended: twice the users' bound, 3 s of contact and
	// 2 s for the change, since the test's machine may be busy.
	soakInForce = 10 * time.Second
)

func soakNumber(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// TestSoak runs the program's roles as processes while they are stopped, killed,
// paused and cut off, the store misbehaves and executors crash, and checks what
// clients and executors have seen. A seed fixes the faults; their moments differ
// a little from run to run. A run may have several rounds: the faults end, what must
// hold then is checked, and the same processes go on.
func TestSoak(t *testing.T) {
	length := time.Duration(soakNumber(soakSecondsVariable, 6)) * time.Second
	rounds := int(soakNumber(soakRoundsVariable, 1))
	seeds := soakSeeds
	if seed := soakNumber(soakSeedVariable, 0); seed != 0 {
		seeds = []uint64{seed}
	}
	for range soakNumber(soakSeedsVariable, 0) {
		seeds = append(seeds, rand.Uint64N(1<<40))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed, length, rounds) })
	}
}

// soakJob is what a client saw of a job.
type soakJob struct {
	id         string
	tasks      int
	bestEffort bool
	// accepted: answered with success; refused: every try was turned away.
	accepted, refused bool
	// state is the newest that was told.
	state string
	// cancelled is when a cancel was answered with success.
	cancelled time.Time
}

// soakRun is one run of the soak.
type soakRun struct {
	*deployment
	random *rand.Rand
	mu     sync.Mutex
	jobs   []*soakJob
	faults sync.WaitGroup
	// version is the newest configuration; versionMu is held while it is written.
	versionMu sync.Mutex
	version   int
	log       []string
	began     time.Time
}

func soak(t *testing.T, seed uint64, length time.Duration, rounds int) {
	t.Logf("seed %d; again with %s=%d", seed, soakSeedVariable, seed)
	r := &soakRun{deployment: newDeployment(t, 3, 4), random: rand.New(rand.NewPCG(seed, seed)), began: time.Now(), version: 1}
	t.Cleanup(func() {
		if t.Failed() {
			for _, line := range r.log {
				t.Log(line)
			}
		}
	})
	for range rounds {
		r.round(length)
	}
	r.settle()
	r.check()
}

// round sends jobs and strikes for a time, then lets the faults end.
func (r *soakRun) round(length time.Duration) {
	changes := r.change()
	var callers sync.WaitGroup
	slots := make(chan struct{}, soakCallers)
	for end := time.Now().Add(length); time.Now().Before(end); {
		j := &soakJob{id: fmt.Sprintf("%016x", len(r.jobs)+1), tasks: 1 + r.random.IntN(8), bestEffort: r.random.IntN(2) == 0}
		r.jobs = append(r.jobs, j)
		first, cancel := r.random.IntN(len(r.entries)), r.random.IntN(12) == 0
		if r.random.IntN(20) == 0 {
			r.fault()
		}
		slots <- struct{}{}
		callers.Add(1)
		go func() {
			defer callers.Done()
			defer func() { <-slots }()
			r.call(j, first)
			if cancel && j.accepted && !j.bestEffort {
				r.cancel(j, first)
			}
		}()
		pause(soakJobPause)
	}
	r.faults.Wait()
	r.store.SetFault(nil)
	r.checkAlive()
	r.checkInForce()
	changes()
	callers.Wait()
}

// change changes the configuration again and again until the function that it returns
// is called.
func (r *soakRun) change() (stop func()) {
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(soakChange)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
				r.newVersion()
			}
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

// newVersion writes the next version of the configuration and returns it.
func (r *soakRun) newVersion() int {
	r.versionMu.Lock()
	defer r.versionMu.Unlock()
	r.version++
	r.configure(r.version)
	return r.version
}

// checkInForce checks that every entry serves the newest configuration, while more of
// them come.
func (r *soakRun) checkInForce() {
	limit := time.Now().Add(soakInForce)
	for _, e := range r.entries {
		if !holdsWithin(time.Until(limit), func() bool { return r.inForce(e) }) {
			r.t.Errorf("%s hears of no changes %v after the faults have ended", e.name, soakInForce)
		}
	}
}

// inForce says whether an entry serves the route of the newest version, and none of
// the version before.
func (r *soakRun) inForce(e *machine) bool {
	r.versionMu.Lock()
	defer r.versionMu.Unlock()
	newest, _ := e.askPath(http.MethodGet, versionPrefix(r.version), nil)
	before, _ := e.askPath(http.MethodGet, versionPrefix(r.version-1), nil)
	return newest == http.StatusOK && before == http.StatusNotFound
}

func pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// call hands a job in, again at the next entry while its fate is not known.
func (r *soakRun) call(j *soakJob, first int) {
	j.refused = true
	for try := range soakTries {
		status, state := r.entries[(first+try)%len(r.entries)].ask(http.MethodPost, j.id, platformJob(j.tasks, j.bestEffort))
		switch status {
		case http.StatusOK:
			j.accepted, j.refused, j.state = true, false, state
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return
		}
		j.refused = false
		pause(soakResend)
	}
}

// cancel cancels a job until that is answered.
func (r *soakRun) cancel(j *soakJob, first int) {
	for try := range soakTries {
		if status, _ := r.entries[(first+try)%len(r.entries)].ask(http.MethodDelete, j.id, nil); status == http.StatusOK {
			j.cancelled = time.Now()
			return
		}
		pause(soakResend / 4)
	}
}

// note keeps a line for the log of a run that fails.
func (r *soakRun) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// fault does one thing to the deployment; it may overlap with others.
func (r *soakRun) fault() {
	machines := append(append([]*machine(nil), r.entries...), r.agents...)
	m := machines[r.random.IntN(len(machines))]
	agent := r.agents[r.random.IntN(len(r.agents))]
	lasts := time.Duration(100+r.random.IntN(2000)) * time.Millisecond
	kind, variant := r.random.IntN(9), r.random.IntN(6)
	r.faults.Add(1)
	go func() {
		defer r.faults.Done()
		r.strike(kind, variant, m, agent, lasts)
	}()
}

func (r *soakRun) strike(kind, variant int, m, agent *machine, lasts time.Duration) {
	switch kind {
	case 0:
		r.note("kill %s, down for %v", m.name, lasts/4)
		m.down(func() { m.kill() }, lasts/4)
	case 1:
		r.note("stop %s, down for %v", m.name, lasts/4)
		m.down(func() {
			m.signal(syscall.SIGTERM)
			<-m.done
		}, lasts/4)
	case 2:
		r.note("pause %s for %v", m.name, lasts)
		m.busy.Lock()
		defer m.busy.Unlock()
		m.freeze()
		pause(lasts)
		m.thaw()
	case 3:
		r.note("hang up %s", m.name)
		m.busy.Lock()
		defer m.busy.Unlock()
		m.awaitRunning()
		m.signal(syscall.SIGHUP)
	case 4:
		r.storeFault(variant, lasts)
	case 5:
		r.note("crash of the executor of %s", agent.name)
		r.newLife(agent)
	case 6:
		r.note("version %d of the configuration", r.newVersion())
	default:
		r.linkFault(variant, m, lasts)
	}
}

// awaitRunning waits until the process's program has begun: before that no program
// can do anything about a signal.
func (m *machine) awaitRunning() {
	began := func() bool { return strings.Contains(m.log.String()[m.logged:], " starts.") }
	if !holdsWithin(patience, began) {
		m.t.Errorf("%s never began", m.name)
	}
}

// down ends a process and starts it again after a time.
func (m *machine) down(end func(), lasts time.Duration) {
	m.busy.Lock()
	defer m.busy.Unlock()
	end()
	pause(lasts)
	m.restart()
}

// storeFault makes the store misbehave for a time.
func (r *soakRun) storeFault(variant int, lasts time.Duration) {
	faults := [...]rowstore.Fault{rowstore.FaultRefuse, rowstore.FaultLoseAnswer, rowstore.FaultLoseCall}
	if variant >= len(faults) {
		r.note("the store forgets its history")
		r.store.Forget()
		return
	}
	r.note("store fault %d for %v", variant, lasts)
	var calls atomic.Int64
	r.store.SetFault(func(rowstore.Call) rowstore.Fault {
		if variant > 0 && calls.Add(1)%3 != 0 {
			return rowstore.FaultNone
		}
		return faults[variant]
	})
	pause(lasts)
	r.store.SetFault(nil)
}

// linkFault harms the connections of a machine for a time.
func (r *soakRun) linkFault(variant int, m *machine, lasts time.Duration) {
	links := map[string]*proxy{"store": m.store, "inward": m.inward, "executor": m.app}
	names := []string{"store", "inward", "executor"}
	name := names[int(lasts)%len(names)]
	p := links[name]
	if p == nil {
		name, p = "store", m.store
	}
	if variant == 5 {
		r.note("%s connections of %s are silent", name, m.name)
		p.muteAll()
		return
	}
	all := [...]faults{{Delay: 40 * time.Millisecond}, {CutUp: true}, {CutDown: true}, {Refuse: true}, {}}
	r.note("%s link of %s: %+v for %v", name, m.name, all[variant], lasts)
	p.set(all[variant])
	if variant >= 3 {
		p.breakAll()
	}
	pause(lasts)
	p.set(faults{})
	if variant == 1 || variant == 2 {
		// Bytes that were swallowed are lost: the connections can't go on.
		p.breakAll()
	}
}

// checkAlive tells of processes that have ended by themselves, and starts them
// again as the platform does.
func (r *soakRun) checkAlive() {
	for _, m := range append(append([]*machine(nil), r.entries...), r.agents...) {
		select {
		case <-m.done:
			r.t.Errorf("%s has ended by itself: %v", m.name, m.cmd.ProcessState)
			m.restart()
		default:
		}
	}
}

// settle waits until every kept job that was accepted has ended.
func (r *soakRun) settle() {
	limit := time.Now().Add(2 * patience)
	for _, j := range r.jobs {
		if !j.accepted || j.bestEffort {
			continue
		}
		ended := holdsWithin(time.Until(limit), func() bool {
			status, state := r.entries[0].ask(http.MethodGet, j.id, nil)
			if status == http.StatusGone {
				r.t.Errorf("job %s was accepted and is unknown", j.id)
				return true
			}
			j.state = state
			return status == http.StatusOK && job.State(state).Final()
		})
		if !ended {
			r.t.Errorf("job %s never ended; state %q", j.id, j.state)
		}
	}
}

// check checks the promises by what clients and executors have seen.
func (r *soakRun) check() {
	byJob := map[string]map[job.TaskName][]standin.Span{}
	for task, spans := range r.spans() {
		id := string(task.Job)
		if byJob[id] == nil {
			byJob[id] = map[job.TaskName][]standin.Span{}
		}
		byJob[id][task] = spans
	}
	accepted, refused, runs := 0, 0, 0
	for _, j := range r.jobs {
		if j.accepted {
			accepted++
		}
		if j.refused {
			refused++
		}
		for task, spans := range byJob[j.id] {
			runs += len(spans)
			r.checkTask(j, task, spans)
		}
		r.checkJob(j, byJob[j.id])
	}
	r.t.Logf("%d jobs, %d accepted, %d refused, %d runs, %d faults", len(r.jobs), accepted, refused, runs, len(r.log))
	if accepted == 0 {
		r.t.Error("no job was accepted")
	}
}

// checkTask checks the runs of one task.
func (r *soakRun) checkTask(j *soakJob, task job.TaskName, spans []standin.Span) {
	for i, s := range spans {
		if !j.cancelled.IsZero() && s.Started.After(j.cancelled.Add(soakCancel)) {
			r.t.Errorf("%v started long after its job was cancelled", task)
		}
		if i == 0 {
			continue
		}
		before := spans[i-1]
		if before.End == 0 || s.Started.Before(before.Ended) {
			r.t.Errorf("two runs of %v at one time: %+v and %+v", task, before, s)
		}
		if !j.bestEffort && before.End == gate.EndDone && before.Noted {
			r.t.Errorf("%v started after a noted end: %+v and %+v", task, before, s)
		}
	}
}

// checkJob checks what a client was told of a job.
func (r *soakRun) checkJob(j *soakJob, tasks map[job.TaskName][]standin.Span) {
	if j.refused && len(tasks) > 0 {
		r.t.Errorf("job %s was refused and ran: %v", j.id, tasks)
	}
	done, exhausted := 0, false
	for _, spans := range tasks {
		failed, ended := 0, false
		for _, s := range spans {
			ended = ended || s.End == gate.EndDone
			if s.End == gate.EndFailed {
				failed++
			}
		}
		if ended {
			done++
		}
		exhausted = exhausted || failed >= platformAttempts
	}
	switch job.State(j.state) {
	case job.StateCompleted:
		if done != j.tasks {
			r.t.Errorf("job %s is completed with %d of %d tasks done", j.id, done, j.tasks)
		}
	case job.StateFailed:
		if !exhausted {
			r.t.Errorf("job %s is failed and no task of it has failed %d times", j.id, platformAttempts)
		}
	case job.StateCancelled:
		if j.cancelled.IsZero() {
			r.t.Logf("job %s is cancelled; no cancel was answered with success", j.id)
		}
	}
}
