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

// This file lets an operator evacuate failure domains of the site in virtual time. Each
// agent is in a domain of its own. After the time that the platform gives nothing may
// start there, whatever has happened to owners, agents and their ways to the store.

const (
	// evacuateBound is the time from the acknowledgement of an evacuation to the last
	// start there: evacuateMs of the users' settings.
	evacuateBound = defaultEvacuate
	// evacuateContact is how long after trouble has ended a box is bound by rules again:
	// contactMs of the users' settings.
	evacuateContact = 4 * time.Second
	// shortTask is what tasks take here, so that there are starts at all times.
	shortTask = 60 * time.Millisecond
	// loadPause is the time between two jobs.
	loadPause = 20 * time.Millisecond
	// feedPause is how often an entry box hears of the operator, readLatency how long an
	// agent's own read takes.
	feedPause   = 100 * time.Millisecond
	readLatency = 8 * time.Millisecond
)

// virtualOperator writes evacuations into a store that boxes may be cut off from.
type virtualOperator struct {
	site *virtualSite

	mu      sync.Mutex
	domains []string
	version uint64
	cut     map[string]bool
	// spans are the evacuations by domain.
	spans map[string][]evacuationSpan
}

// evacuationSpan is the time from an evacuation's acknowledgement until it was taken back.
type evacuationSpan struct{ from, until time.Time }

// operate gives a site an operator: its entry boxes follow it, and its agents read its
// rows where their owners do not tell them.
func operate(s *virtualSite) *virtualOperator {
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

// feed tells an entry box what the operator has written, again and again.
func (o *virtualOperator) feed(b *entryBox) {
	started := o.site.begun
	for b.awake.pass(b.ctx) {
		if domains, version, err := o.read(b.name); err == nil {
			b.owner.TakeEvacuations(evacuation.News{Domains: domains, Version: version, AsOf: time.Since(started)})
		}
		wait.For(b.ctx, feedPause)
	}
}

// watch has a process of an agent look after its news of evacuations.
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

// read reads the rows for a box.
func (o *virtualOperator) read(name string) ([]string, uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cut[name] {
		return nil, 0, rowstore.ErrNotDone
	}
	return o.domains, o.version, nil
}

// cutOff cuts boxes off from the store, or lets them reach it again.
func (o *virtualOperator) cutOff(cut bool, names ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		o.cut[name] = cut
	}
}

// evacuate has the evacuation of a domain acknowledged.
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

// takeBack has the end of an evacuation acknowledged.
func (o *virtualOperator) takeBack(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.domains = slices.DeleteFunc(slices.Clone(o.domains), func(d string) bool { return d == domain })
	o.spans[domain][len(o.spans[domain])-1].until = time.Now()
}

// load hands in jobs of two short tasks by turns at all entry boxes until a time.
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

// startsBetween counts the starts at an agent's target between two times.
func (o *virtualOperator) startsBetween(a *agentBox, from, until time.Time) (n int, last time.Time) {
	for _, s := range a.target.Journal() {
		if s.Started.After(from) && s.Started.Before(until) {
			n++
			last = s.Started
		}
	}
	return n, last
}

// check checks that nothing started in a domain later than the bound after its evacuation
// was acknowledged, and after a time from which boxes are bound again.
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
				t.Errorf("%d starts in %s beyond the bound, the last %v after the acknowledgement", n, a.domain(), last.Sub(span.from))
			}
		}
	}
}

// Symptom: 18,373 starts in evacuated failure domains in one day. Cause: nothing in the
// product knew of evacuations. Each case evacuates the domain of agent-0 at zero and takes
// it back at 16 s, with trouble between; all run red with the gate's look at its news
// taken out of Gate.Open.
func TestEvacuation(t *testing.T) {
	const (
		takenBack = 16 * time.Second
		end       = 20 * time.Second
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
		// trouble returns what happens beside the evacuation.
		trouble func(s *virtualSite, o *virtualOperator) []event
		// calm is when the trouble has ended that frees boxes of the rule's bound; 0 if
		// none does.
		calm time.Duration
		// quick: the last start is soon after the acknowledgement.
		quick bool
	}{
		{name: "calm", quick: true, trouble: func(*virtualSite, *virtualOperator) []event { return nil }},
		{name: "one owner can't reach the store", quick: true, trouble: func(s *virtualSite, o *virtualOperator) []event {
			return []event{{-2 * time.Second, func() { o.cutOff(true, s.entries[0].name) }}}
		}},
		{name: "no owner can reach the store", trouble: func(s *virtualSite, o *virtualOperator) []event {
			entries, _ := names(s)
			return []event{{-2 * time.Second, func() { o.cutOff(true, entries...) }}, {takenBack - time.Second, func() { o.cutOff(false, entries...) }}}
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
				{takenBack - time.Second, func() { o.cutOff(false, entries...) }},
			}
		}, calm: 7500 * time.Millisecond},
		{name: "the agent is frozen", trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{-100 * time.Millisecond, s.agents[0].awake.shut}, {5500 * time.Millisecond, s.agents[0].awake.open}}
		}},
		{name: "the agent is frozen and its owners can't reach the store", trouble: func(s *virtualSite, o *virtualOperator) []event {
			entries, _ := names(s)
			return []event{
				{-2 * time.Second, func() { o.cutOff(true, entries...) }}, {-100 * time.Millisecond, s.agents[0].awake.shut},
				{5500 * time.Millisecond, s.agents[0].awake.open}, {takenBack - time.Second, func() { o.cutOff(false, entries...) }},
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
					o.takeBack(domain)
					o.evacuate(domain)
				}},
			}
		}},
		{name: "another domain before and after", quick: true, trouble: func(s *virtualSite, o *virtualOperator) []event {
			other, last := s.agents[1].domain(), s.agents[2].domain()
			return []event{
				{-3 * time.Second, func() { o.evacuate(other) }}, {5 * time.Second, func() { o.takeBack(other) }},
				{5500 * time.Millisecond, func() { o.evacuate(last) }}, {12 * time.Second, func() { o.takeBack(last) }},
			}
		}},
		{name: "another domain is lost", quick: true, trouble: func(s *virtualSite, _ *virtualOperator) []event {
			return []event{{-time.Second, s.agents[1].kill}, {8 * time.Second, s.agents[1].start}}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(s *virtualSite) {
				o := operate(s)
				served := o.load(time.Now().Add(4*time.Second + end))
				domain := s.agents[0].domain()
				events := append(test.trouble(s, o),
					event{-3500 * time.Millisecond, func() {}},
					event{0, func() { o.evacuate(domain) }},
					event{takenBack, func() { o.takeBack(domain) }})
				before := 0
				events = append(events, event{time.Second, func() { before = served() }})
				s.play(end, events...)
				o.check(t, s.trouble.Add(test.calm+minContact(test.calm)))
				if _, last := o.startsBetween(s.agents[0], s.trouble, s.trouble.Add(takenBack)); test.quick && last.Sub(s.trouble) > 2*feedPause {
					t.Errorf("the last start is %v after the acknowledgement, want it at once", last.Sub(s.trouble))
				}
				if n, _ := o.startsBetween(s.agents[0], s.trouble.Add(takenBack), time.Now()); n == 0 {
					t.Error("nothing starts there after the evacuation was taken back")
				}
				if n := served() - before; n < int(end/loadPause)/3 {
					t.Errorf("%d jobs served beside the evacuation, want a third at least", n)
				}
			})
		})
	}
}

// minContact is how long after trouble boxes are bound again; nothing without trouble.
func minContact(calm time.Duration) time.Duration {
	if calm == 0 {
		return 0
	}
	return evacuateContact
}

// A store that nobody can reach does not take targets out of service.
func TestNoNewsIsNoEvacuation(t *testing.T) {
	inBubble(t, func(s *virtualSite) {
		o := operate(s)
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
				t.Errorf("nothing starts at %s while the store can't be reached", a.name)
			}
		}
		if n := served(); n < int(18*time.Second/loadPause)/2 {
			t.Errorf("%d jobs served", n)
		}
	})
}

// While all domains are evacuated a job is refused at once, and truthfully.
func TestAllDomainsEvacuated(t *testing.T) {
	inBubble(t, func(s *virtualSite) {
		o := operate(s)
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
		o.takeBack(s.agents[1].domain())
		wait.For(s.ctx, time.Second)
		result := make(chan owner.BestEffortResult, 1)
		s.entries[0].owner.RunBestEffort(testJob(9, 2, true), time.Second, func(r owner.BestEffortResult) { result <- r })
		if r := <-result; r.State != job.StateCompleted {
			t.Errorf("result %+v after one domain was taken back", r)
		}
	})
}

// Kept jobs that wait while every domain is evacuated start once one is taken back.
func TestKeptJobWaitsForDomain(t *testing.T) {
	inBubble(t, func(s *virtualSite) {
		o := operate(s)
		result := make(chan owner.SubmitResult, 1)
		// Its first run is under way when the domains are evacuated, and fails.
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
			t.Fatalf("%d runs while all domains are evacuated, want the first alone", n)
		}
		for _, a := range s.agents {
			o.takeBack(a.domain())
		}
		wait.For(s.ctx, time.Second)
		if all := s.spans(); len(all) != 2 || all[1].End != gate.EndDone {
			t.Errorf("runs %+v, want a second that is done", all)
		}
	})
}

// domain is the failure domain of an agent's box.
func (b *agentBox) domain() string { return fmt.Sprintf("domain-of-%s", b.name) }
