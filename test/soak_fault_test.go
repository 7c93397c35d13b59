package test

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"rackspur/rowstore"
)

// injectFault starts a random fault, which may overlap with others.
func (r *soakRun) injectFault() {
	boxes := append(append([]*box(nil), r.entries...), r.agents...)
	m := boxes[r.random.IntN(len(boxes))]
	agent := r.agents[r.random.IntN(len(r.agents))]
	lasts := time.Duration(100+r.random.IntN(2000)) * time.Millisecond
	kind, variant := r.random.IntN(9), r.random.IntN(6)
	r.faults.Add(1)
	go func() {
		defer r.faults.Done()
		r.applyFault(kind, variant, m, agent, lasts)
	}()
}

func (r *soakRun) applyFault(kind, variant int, m, agent *box, lasts time.Duration) {
	switch kind {
	case 0:
		r.note("kill %s, down for %v", m.name, lasts/4)
		m.restartAfterDelay(func() { m.kill() }, lasts/4)
	case 1:
		r.note("stop %s, down for %v", m.name, lasts/4)
		m.restartAfterDelay(func() {
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
		r.note("SIGHUP to %s", m.name)
		m.busy.Lock()
		defer m.busy.Unlock()
		m.awaitRunning()
		m.signal(syscall.SIGHUP)
	case 4:
		r.storeFault(variant, lasts)
	case 5:
		r.note("crash of the target of %s", agent.name)
		r.newLife(agent)
	case 6:
		r.note("version %d of the configuration", r.newVersion())
	default:
		r.linkFault(variant, m, lasts)
	}
}

// awaitRunning waits until the process has logged its start: before that its signal
// handlers may not be installed.
func (m *box) awaitRunning() {
	began := func() bool { return strings.Contains(m.log.String()[m.logged:], " starts.") }
	if !holdsWithin(waitTimeout, began) {
		m.t.Errorf("%s did not log its start", m.name)
	}
}

// restartAfterDelay ends a process and restarts it after a time.
func (m *box) restartAfterDelay(end func(), lasts time.Duration) {
	m.busy.Lock()
	defer m.busy.Unlock()
	end()
	pause(lasts)
	m.restart()
}

// storeFault makes the store fail for a time, or lose its history of changes.
func (r *soakRun) storeFault(variant int, lasts time.Duration) {
	faults := [...]rowstore.Fault{rowstore.FaultRefuse, rowstore.FaultLoseAnswer, rowstore.FaultLoseCall}
	if variant >= len(faults) {
		r.note("the store loses its history")
		r.store.DropHistory()
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

// linkFault disturbs one kind of connection of a box for a time.
func (r *soakRun) linkFault(variant int, m *box, lasts time.Duration) {
	links := map[string]*proxy{"store": m.storeProxy, "inward": m.inbound, "executor": m.targetProxy}
	names := []string{"store", "inward", "executor"}
	name := names[int(lasts)%len(names)]
	p := links[name]
	if p == nil {
		name, p = "store", m.storeProxy
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
		// Bytes were dropped, so the open connections are unusable.
		p.breakAll()
	}
}
