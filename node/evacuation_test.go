package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/evacuation"
	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/owner"
	"rackspur/rowstore"
)

// The tests of this file evacuate failure domains of a site in virtual time. Each agent is
// in a domain of its own. Whatever faults occur, nothing may start in an evacuated domain
// after the platform's time limit.

const (
	// evacuateBound is the time limit from the acknowledgement of an evacuation to the last
	// start in the domain: evacuateMs of the users' settings.
	evacuateBound = defaultEvacuationBound
	// evacuateContact is how long after the end of a fault the limit applies again:
	// contactMs of the users' settings.
	evacuateContact = 4 * time.Second
	// shortTask is the run time of tasks, short enough that starts happen all the time.
	shortTask = 60 * time.Millisecond
	// loadPause is the time between two jobs.
	loadPause = 20 * time.Millisecond
	// feedPause is the pause between two reads of an entry box; readLatency is how long an
	// agent's read takes.
	feedPause   = 100 * time.Millisecond
	readLatency = 8 * time.Millisecond
)

// virtualOperator writes evacuations into a store that boxes can be disconnected from.
type virtualOperator struct {
	site *virtualSite

	mu      sync.Mutex
	domains []string
	version uint64
	cut     map[string]bool
	// spans are the evacuations by domain.
	spans map[string][]evacuationSpan
}

// evacuationSpan is the time between the acknowledgements of an evacuation's start and end.
type evacuationSpan struct{ from, until time.Time }

// addOperator adds an operator to a site. Entry boxes follow its evacuations; agents read
// them if their owners send no recent list.
func addOperator(s *virtualSite) *virtualOperator {
	o := &virtualOperator{site: s, version: 1, cut: map[string]bool{}, spans: map[string][]evacuationSpan{}}
	for _, e := range s.entries {
		go o.feed(e)
	}
	for _, a := range s.agents {
		a.target.newest().Work = func(job.RunName) (time.Duration, gate.EndKind) { return shortTask, gate.EndDone }
		a.operator = o
		o.watch(a, a.running())
	}
	return o
}

// feed passes the evacuations to an entry box periodically.
func (o *virtualOperator) feed(b *entryBox) {
	for b.awake.pass(b.ctx) {
		o.inform(b)
		wait.For(b.ctx, feedPause)
	}
}

// inform passes the evacuations to an entry box once.
func (o *virtualOperator) inform(b *entryBox) {
	if domains, version, err := o.read(b.name); err == nil {
		b.owner.UpdateEvacuations(evacuation.News{Domains: domains, Version: version, AsOf: time.Since(o.site.started)})
	}
}

// watch runs the evacuation watch of an agent's process.
func (o *virtualOperator) watch(a *agentBox, p *agentProcess) {
	options := Options{Log: logr.Discard(), ReadEvacuations: func(ctx context.Context, _ rowstore.Store) ([]string, uint64, error) {
		if !a.awake.pass(ctx) {
			return nil, 0, ctx.Err()
		}
		domains, version, err := o.read(a.name)
		wait.For(ctx, readLatency)
		return domains, version, err
	}}
	go newEvacuationWatch(options, nil, p.driver).run(p.ctx)
}

// read reads the evacuations for a box.
func (o *virtualOperator) read(name string) ([]string, uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cut[name] {
		return nil, 0, rowstore.ErrNotDone
	}
	return o.domains, o.version, nil
}

// cutOff disconnects boxes from the store, or connects them again.
func (o *virtualOperator) cutOff(cut bool, names ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		o.cut[name] = cut
	}
}

// evacuate starts the evacuation of a domain.
func (o *virtualOperator) evacuate(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	if slices.Contains(o.domains, domain) {
		return
	}
	o.domains = append(slices.Clone(o.domains), domain)
	slices.Sort(o.domains)
	o.spans[domain] = append(o.spans[domain], evacuationSpan{from: time.Now()})
}

// endEvacuation ends the evacuation of a domain.
func (o *virtualOperator) endEvacuation(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.domains = slices.DeleteFunc(slices.Clone(o.domains), func(d string) bool { return d == domain })
	o.spans[domain][len(o.spans[domain])-1].until = time.Now()
}

// load submits jobs of two short tasks to all entry boxes in turn until a time. served
// returns the number of completed jobs.
func (o *virtualOperator) load(until time.Time) (served func() int) {
	var mu sync.Mutex
	done := 0
	go func() {
		for i := 0; o.site.ctx.Err() == nil && time.Now().Before(until); i++ {
			b := o.site.entries[i%len(o.site.entries)]
			j := testJob(1000+i, 2, true)
			j.Steps[0].EstimateMS = int(shortTask.Milliseconds())
			go func() {
				result := make(chan owner.BestEffortResult, 1)
				b.owner.RunBestEffort(j, time.Second, func(r owner.BestEffortResult) { result <- r })
				select {
				case r := <-result:
					mu.Lock()
					defer mu.Unlock()
					if r.State == job.StateCompleted {
						done++
					}
				case <-b.ctx.Done():
				}
			}()
			wait.For(o.site.ctx, loadPause)
		}
	}()
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return done
	}
}

// startsBetween counts the starts at an agent's target between two times and returns the
// last one.
func (o *virtualOperator) startsBetween(a *agentBox, from, until time.Time) (n int, last time.Time) {
	for _, s := range a.target.Journal() {
		if s.Started.After(from) && s.Started.Before(until) {
			n++
			last = s.Started
		}
	}
	return n, last
}

// check checks that nothing started in a domain after the time limit of its evacuation.
// Starts before boundFrom are ignored.
func (o *virtualOperator) check(t *testing.T, boundFrom time.Time) {
	t.Helper()
	for _, a := range o.site.agents {
		for _, span := range o.spans[a.domain()] {
			from := span.from.Add(evacuateBound)
			if from.Before(boundFrom) {
				from = boundFrom
			}
			until := span.until
			if until.IsZero() {
				until = time.Now()
			}
			if n, last := o.startsBetween(a, from, until); n > 0 {
				t.Errorf("%d starts in %s after the time limit, the last %v after the acknowledgement", n, a.domain(), last.Sub(span.from))
			}
		}
	}
}

// checkQuick checks that the last start in a domain is soon after the acknowledgement of each
// of its evacuations. One that was revoked in between counts from its own acknowledgement.
func (o *virtualOperator) checkQuick(t *testing.T, a *agentBox) {
	t.Helper()
	for _, span := range o.spans[a.domain()] {
		if _, last := o.startsBetween(a, span.from, span.until); last.Sub(span.from) > 2*feedPause {
			t.Errorf("the last start is %v after the acknowledgement, want none after two feed pauses", last.Sub(span.from))
		}
	}
}

// Nothing may start in an evacuated failure domain after the time limit. Each case evacuates
// the domain of agent-0 at 0 s, ends the evacuation at 16 s, and injects faults between.
func TestEvacuation(t *testing.T) {
	const (
		evacuationEnd = 16 * time.Second
		end           = 20 * time.Second
	)
	names := func(s *virtualSite) (entries, agents []string) {
		for _, e := range s.entries {
			entries = append(entries, e.name)
		}
		for _, a := range s.agents {
			agents = append(agents, a.name)
		}
		return entries, agents
	}
	tests := []struct {
		name string
		// trouble returns the other events.
		trouble func(s *virtualSite, o *virtualOperator) []event
		// calm is the end of a fault during which the limit does not apply; 0 if there is none.
		calm time.Duration
		// quick says that the last start must be soon after the acknowledgement.
		quick bool
	}{
		{name: "calm", quick: true, trouble: func(*virtualSite, *virtualOperator) []event { return nil }},
		{name: "one owner can't reach the store", quick: true, trouble: func(s *virtualSite, o *virtualOperator) []event {
			return []event{{-2 * time.Second, func() { o.cutOff(true, s.entries[0].name) }}}
		}},
		{name: "no owner can reach the store", trouble: func(s *virtualSite, o *virtualOperator) []event {
			entries, _ := names(s)
			return []event{{-2 * time.Second, func() { o.cutOff(true, entries...) }}, {evacuationEnd - time.Second, func() { o.cutOff(false, entries...) }}}
		}},
		{name: "no agent can reach the store", quick: true, trouble: func(s *virtualSite, o *virtualOperator) []event {
			_, agents := names(s)
			return []event{{-2 * time.Second, func() { o.cutOff(true, agents...) }}}
		}},
		{name: "an owner is lost", quick: true, trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{-50 * time.Millisecond, s.entries[0].kill}}
		}},
		{name: "an owner is frozen", quick: true, trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{-500 * time.Millisecond, s.entries[0].awake.shut}, {6 * time.Second, s.entries[0].awake.open}}
		}},
		{name: "an owner is cut off from gates and callers", quick: true, trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{-500 * time.Millisecond, s.entries[0].cut}, {6 * time.Second, s.entries[0].heal}}
		}},
		{name: "the agent is lost and starts anew", trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{-20 * time.Millisecond, s.agents[0].kill}, {400 * time.Millisecond, s.agents[0].start}}
		}},
		{name: "the agent is lost again later", trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{7 * time.Second, s.agents[0].kill}, {7500 * time.Millisecond, s.agents[0].start}}
		}},
		{name: "the agent is lost while its owners can't reach the store", trouble: func(s *virtualSite, o *virtualOperator) []event {
			entries, _ := names(s)
			return []event{
				{-2 * time.Second, func() { o.cutOff(true, entries...) }},
				{7 * time.Second, s.agents[0].kill}, {7500 * time.Millisecond, s.agents[0].start},
				{evacuationEnd - time.Second, func() { o.cutOff(false, entries...) }},
			}
		}, calm: 7500 * time.Millisecond},
		{name: "the agent is frozen", trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{-100 * time.Millisecond, s.agents[0].awake.shut}, {5500 * time.Millisecond, s.agents[0].awake.open}}
		}},
		{name: "the agent is frozen and its owners can't reach the store", trouble: func(s *virtualSite, o *virtualOperator) []event {
			entries, _ := names(s)
			return []event{
				{-2 * time.Second, func() { o.cutOff(true, entries...) }}, {-100 * time.Millisecond, s.agents[0].awake.shut},
				{5500 * time.Millisecond, s.agents[0].awake.open}, {evacuationEnd - time.Second, func() { o.cutOff(false, entries...) }},
			}
		}, calm: 5500 * time.Millisecond},
		{name: "the store is silent to all", trouble: func(s *virtualSite, o *virtualOperator) []event {
			entries, agents := names(s)
			return []event{
				{10 * time.Millisecond, func() { o.cutOff(true, append(entries, agents...)...) }},
				{6 * time.Second, func() { o.cutOff(false, append(entries, agents...)...) }},
			}
		}, calm: 6 * time.Second},
		{name: "given twice, taken back and given again at once", quick: true, trouble: func(s *virtualSite, o *virtualOperator) []event {
			domain := s.agents[0].domain()
			return []event{
				{3 * time.Second, func() { o.evacuate(domain) }},
				{8 * time.Second, func() {
					o.endEvacuation(domain)
					o.evacuate(domain)
				}},
			}
		}},
		{name: "taken back and given again, and read between", quick: true, trouble: func(s *virtualSite, o *virtualOperator) []event {
			domain := s.agents[0].domain()
			return []event{{8 * time.Second, func() {
				o.endEvacuation(domain)
				for _, e := range s.entries {
					o.inform(e)
				}
				o.evacuate(domain)
			}}}
		}},
		{name: "another domain before and after", quick: true, trouble: func(s *virtualSite, o *virtualOperator) []event {
			other, last := s.agents[1].domain(), s.agents[2].domain()
			return []event{
				{-3 * time.Second, func() { o.evacuate(other) }}, {5 * time.Second, func() { o.endEvacuation(other) }},
				{5500 * time.Millisecond, func() { o.evacuate(last) }}, {12 * time.Second, func() { o.endEvacuation(last) }},
			}
		}},
		{name: "another domain is lost", quick: true, trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{-time.Second, s.agents[1].kill}, {8 * time.Second, s.agents[1].start}}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(s *virtualSite) {
				o := addOperator(s)
				served := o.load(time.Now().Add(4*time.Second + end))
				domain := s.agents[0].domain()
				events := append(test.trouble(s, o),
					event{-3500 * time.Millisecond, func() {}},
					event{0, func() { o.evacuate(domain) }},
					event{evacuationEnd, func() { o.endEvacuation(domain) }})
				before := 0
				events = append(events, event{time.Second, func() { before = served() }})
				s.play(end, events...)
				o.check(t, s.trouble.Add(test.calm+contactAfter(test.calm)))
				if test.quick {
					o.checkQuick(t, s.agents[0])
				}
				if n, _ := o.startsBetween(s.agents[0], s.trouble.Add(evacuationEnd), time.Now()); n == 0 {
					t.Error("nothing starts in the domain after its evacuation has ended")
				}
				if n := served() - before; n < int(end/loadPause)/3 {
					t.Errorf("%d jobs completed during the test, want at least a third", n)
				}
			})
		})
	}
}

// contactAfter is how long after a fault the limit applies again; 0 without a fault.
func contactAfter(calm time.Duration) time.Duration {
	if calm == 0 {
		return 0
	}
	return evacuateContact
}

// If no box can reach the store, targets stay in service.
func TestNoNewsIsNoEvacuation(t *testing.T) {
	inBubble(t, func(s *virtualSite) {
		o := addOperator(s)
		served := o.load(time.Now().Add(20 * time.Second))
		s.play(18*time.Second, event{0, func() {
			for _, e := range s.entries {
				o.cutOff(true, e.name)
			}
			for _, a := range s.agents {
				o.cutOff(true, a.name)
			}
		}})
		for _, a := range s.agents {
			if n, _ := o.startsBetween(a, s.trouble.Add(10*time.Second), time.Now()); n == 0 {
				t.Errorf("nothing starts at %s while the store is unreachable", a.name)
			}
		}
		if n := served(); n < int(18*time.Second/loadPause)/2 {
			t.Errorf("%d jobs completed, want at least half", n)
		}
	})
}

// While all domains are evacuated, jobs are refused at once and none of their tasks runs.
func TestAllDomainsEvacuated(t *testing.T) {
	inBubble(t, func(s *virtualSite) {
		o := addOperator(s)
		for _, a := range s.agents {
			o.evacuate(a.domain())
		}
		wait.For(s.ctx, time.Second)
		began := time.Now()
		for i, e := range s.entries {
			result := make(chan owner.BestEffortResult, 1)
			e.owner.RunBestEffort(testJob(1+i, 2, true), time.Second, func(r owner.BestEffortResult) { result <- r })
			if r := <-result; !r.Refused {
				t.Errorf("%s: result %+v, want refused", e.name, r)
			}
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("refused after %v, want at once", waited)
		}
		if n := len(s.spans()); n != 0 {
			t.Errorf("%d runs of refused jobs", n)
		}
		o.endEvacuation(s.agents[1].domain())
		wait.For(s.ctx, time.Second)
		result := make(chan owner.BestEffortResult, 1)
		s.entries[0].owner.RunBestEffort(testJob(9, 2, true), time.Second, func(r owner.BestEffortResult) { result <- r })
		if r := <-result; r.State != job.StateCompleted {
			t.Errorf("result %+v after one evacuation has ended, want completed", r)
		}
	})
}

// Durable jobs that wait while all domains are evacuated start once an evacuation ends.
func TestKeptJobWaitsForDomain(t *testing.T) {
	inBubble(t, func(s *virtualSite) {
		o := addOperator(s)
		result := make(chan owner.SubmitResult, 1)
		// The first run is active when the domains are evacuated, and fails.
		for _, a := range s.agents {
			a.target.newest().Work = func(n job.RunName) (time.Duration, gate.EndKind) {
				if n.Run == 1 {
					return time.Second, gate.EndFailed
				}
				return shortTask, gate.EndDone
			}
		}
		s.entries[0].owner.Submit(testJob(1, 1, false), func(r owner.SubmitResult) { result <- r })
		if r := <-result; r != owner.SubmitAccepted {
			t.Fatalf("result %v", r)
		}
		wait.For(s.ctx, 200*time.Millisecond)
		for _, a := range s.agents {
			o.evacuate(a.domain())
		}
		wait.For(s.ctx, 6*time.Second)
		if n := len(s.spans()); n != 1 {
			t.Fatalf("%d runs while all domains are evacuated, want 1", n)
		}
		for _, a := range s.agents {
			o.endEvacuation(a.domain())
		}
		wait.For(s.ctx, time.Second)
		if all := s.spans(); len(all) != 2 || all[1].End != gate.EndDone {
			t.Errorf("runs %+v, want two, the second done", all)
		}
	})
}

// domain returns the failure domain of the agent's box.
func (b *agentBox) domain() string { return fmt.Sprintf("domain-of-%s", b.name) }
