package main

import (
	"fmt"
	"slices"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Times of the case route.
const (
	routeWork = 500 * time.Millisecond
	// linkDelay is what the link to the agent takes while packets are lost and sent again.
	linkDelay = 800 * time.Millisecond
	// crashAfter is when the executor crashes after the job was accepted, rebornAfter how long it
	// takes until another incarnation is there.
	crashAfter  = 20 * time.Millisecond
	rebornAfter = 300 * time.Millisecond
)

// routeBroken: an order for a worker with a label is held up on its way while the worker crashes and
// comes back as another kind. Rule ROUTE: no start on an executor without the label in requires.
func routeBroken(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return routeWork, gate.EndDone }
	w, err := newWorld(log, 2, []agentPlan{{[]string{"a", "r1-1"}, work}, {[]string{"b", "r1-1"}, work}, {[]string{"b", "r1-1"}, work}})
	defer w.close()
	if err != nil {
		return "", err
	}
	owner, other := w.entries[0], w.entries[1]
	if trouble {
		log.add("fault", "the link to %s loses packets: what the entries send is %v late", w.agents[0].node, linkDelay)
		w.agents[0].proxy.setDelay(linkDelay)
	}
	id := newID(4)
	if err := owner.submit(id, jobOf(1, routeWork, "a")); err != nil {
		return "", err
	}
	if trouble {
		time.Sleep(crashAfter)
		w.agents[0].target.crash()
		time.Sleep(rebornAfter)
		w.agents[0].target.restart([]string{"b", "r1-1"})
		time.Sleep(2 * linkDelay)
		log.add("fault", "the link to %s is sound again", w.agents[0].node)
		w.agents[0].proxy.setDelay(0)
	}
	time.Sleep(2 * time.Second)
	other.ask("GET", id, nil)
	broken := ""
	for _, r := range w.runsOf(id) {
		log.add("check", "task %s run %d on %s with labels %v: started %s, ended %s %s", taskText(r.Name), r.Name.Run, r.node, r.labels, clock(log, r.Started), clock(log, r.Ended), endText(r.End))
		if !slices.Contains(r.labels, "a") {
			broken = fmt.Sprintf("ROUTE: task %s, which requires the label a, started on an executor with the labels %v", taskText(r.Name), r.labels)
		}
	}
	return broken, nil
}
