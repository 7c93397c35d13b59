package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/member"
	"rackspur/owner"
	"rackspur/peer"
)

// A caller whose connection has broken submits its best-effort job again, to any entry box. Time
// limits end the first owner's runs in time if that owner is lost or knows that the caller has
// left. If it lives and does not know, for example because the connection is dead on the caller's
// side only, nothing ends them. So owners announce jobs that they have had for some time to each
// other, and an entry box that is handed an announced job lets its owner run it.

const (
	// announceInterval is the time between two announcements to another box.
	announceInterval = 200 * time.Millisecond
	// maxAnnouncingEntries is the number of entry boxes up to which jobs are announced. In larger
	// fleets connections between all of them would overload small boxes.
	maxAnnouncingEntries = 32
	// maxLeftError is how much too early another box may forget a job. It is well below what
	// owners add to the time that a job has left.
	maxLeftError = 500 * time.Millisecond
)

// announcer announces the jobs of a term to the other entry boxes.
type announcer struct {
	term *term

	mu sync.Mutex
	// told holds what each other box has been told, by node.
	told map[string]*toldBox
}

// toldBox is what another entry box has been told.
type toldBox struct {
	// incarnation is the process that was told.
	incarnation string
	// jobs holds what the box was told of each job.
	jobs map[job.ID]toldJob
	// busy is set while an announcement is under way.
	busy bool
}

// toldJob is what a box was told of a job: until when to expect runs of it, and whether its owner
// still runs it.
type toldJob struct {
	until time.Time
	live  bool
}

func newAnnouncer(t *term) *announcer {
	return &announcer{term: t, told: map[string]*toldBox{}}
}

// run announces jobs until the term ends.
func (a *announcer) run() {
	for {
		wait.For(a.term.ctx, announceInterval)
		if a.term.ctx.Err() != nil {
			return
		}
		a.announce()
	}
}

// announce tells each other entry box of the jobs that it has not been told of.
func (a *announcer) announce() {
	others := a.others()
	if len(others) >= maxAnnouncingEntries {
		return
	}
	jobs := a.term.owner.JobsToAnnounce()
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.told, func(node string, told *toldBox) bool {
		return !told.busy && !slices.ContainsFunc(others, func(b member.Box) bool { return b.Node == node })
	})
	for _, b := range others {
		told := a.told[b.Node]
		if told == nil {
			told = &toldBox{jobs: map[job.ID]toldJob{}}
			a.told[b.Node] = told
		}
		if news := told.news(time.Now(), b.Incarnation, jobs); len(news) > 0 && !told.busy {
			told.busy = true
			go a.tell(b, news)
		}
	}
}

// news returns the jobs that a box has not been told of, that have been dropped since, or which it
// would forget too early since another caller waits longer. It forgets those that are over.
func (d *toldBox) news(now time.Time, incarnation string, jobs []owner.AnnouncedJob) []owner.AnnouncedJob {
	if d.incarnation != incarnation {
		d.incarnation = incarnation
		clear(d.jobs)
	}
	listed := make(map[job.ID]bool, len(jobs))
	var news []owner.AnnouncedJob
	for _, j := range jobs {
		listed[j.ID] = true
		if before, ok := d.jobs[j.ID]; !ok || before.live != j.Live || now.Add(j.Left).Sub(before.until) > maxLeftError {
			news = append(news, j)
		}
	}
	maps.DeleteFunc(d.jobs, func(id job.ID, _ toldJob) bool { return !listed[id] })
	return news
}

// tell sends an announcement.
func (a *announcer) tell(b member.Box, jobs []owner.AnnouncedJob) {
	began := time.Now()
	err := a.send(b, jobs)
	a.mu.Lock()
	defer a.mu.Unlock()
	told := a.told[b.Node]
	told.busy = false
	if err != nil || told.incarnation != b.Incarnation {
		return
	}
	for _, j := range jobs {
		told.jobs[j.ID] = toldJob{until: began.Add(j.Left), live: j.Live}
	}
}

func (a *announcer) send(b member.Box, jobs []owner.AnnouncedJob) error {
	e := a.term.entry
	client, err := e.askClient(b.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(a.term.ctx, askTimeout)
	defer cancel()
	if _, err = client.Announce(ctx, peer.ToAnnouncement(a.term.box.Incarnation, jobs)); err != nil {
		e.closeIfBroken(a.term.ctx, b.Address, err)
	}
	return err
}

// others returns the other entry boxes of the membership.
func (a *announcer) others() []member.Box {
	var others []member.Box
	for _, b := range a.term.entry.known() {
		if b.Role == member.RoleEntry && b.Node != a.term.box.Node {
			others = append(others, b)
		}
	}
	return others
}
