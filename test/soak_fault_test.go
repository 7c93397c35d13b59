package test

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"rackspur/rowstore"
)

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
