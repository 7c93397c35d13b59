package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"rackspur/rowstore"
)

// evacuateSoakSeeds are played by TestSoakEvacuations in each run. Each takes about 15 s.
var evacuateSoakSeeds = []uint64{
	1, // no failure known
	// The executor link of the one agent of a domain is silent for 0.85 s before the domain
	// is evacuated: the gate took its target for slow from then on, and owners with room
	// elsewhere never tried it again.
	62423445606,
}

// Times of a soak with evacuations.
const (
	// evacuateSeconds is the usual length of a round.
	evacuateSeconds = 4
	// evacuateBound is the time from the acknowledgement of an evacuation to the last
	// start there (evacuateMs of the users' settings).
	evacuateBound = 5 * time.Second
	// evacuateContact is how long after trouble rules bind again (their contactMs).
	evacuateContact = 4 * time.Second
	// longestFault is when the last fault of a round is over: 2.1 s, and the start of a
	// process.
	longestFault = 3 * time.Second
	// evacuateWatch is how long starts are watched for once the bound holds.
	evacuateWatch = 1500 * time.Millisecond
	// evacuateLeast and evacuateSpread are the shortest time between two words of the
	// operator, in milliseconds, and by how much it varies.
	evacuateLeast  = 100
	evacuateSpread = 1200
	// evacuateDomains is how many failure domains the machines are spread over.
	evacuateDomains = 3
)

// evacuationsPlan is the plan of TestSoakEvacuations.
var evacuationsPlan = soakPlan{
	resend: soakResend, jobPause: soakJobPause, faultOdds: 20, domains: evacuateDomains,
	beside: func(r *soakRun, end time.Time, callers *sync.WaitGroup) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.evacuations(end)
		}()
	},
}

// TestSoakEvacuations is the soak whose operator evacuates failure domains and takes that
// back, in any order, while faults strike. One domain stays evacuated at the end of a
// round: once the bound holds nothing may start there, while jobs come; after it is taken
// back something must.
func TestSoakEvacuations(t *testing.T) {
	length := time.Duration(soakNumber(soakSecondsVariable, evacuateSeconds)) * time.Second
	rounds := int(soakNumber(soakRoundsVariable, 1))
	for _, seed := range soakSeedsOr(evacuateSoakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, evacuationsPlan, seed, length, rounds) })
	}
}

// evacuations gives evacuations and takes them back until a time, then checks the one
// that stays.
func (r *soakRun) evacuations(end time.Time) {
	random := r.part(evacuationsPart)
	evacuated := map[string]bool{}
	for time.Now().Before(end) {
		pause(milliseconds(evacuateLeast + random.IntN(evacuateSpread)))
		domain := domainName(random.IntN(evacuateDomains))
		evacuated[domain] = !evacuated[domain]
		r.evacuate(domain, evacuated[domain])
		if random.IntN(4) == 0 {
			r.evacuate(domain, !evacuated[domain])
			r.evacuate(domain, evacuated[domain])
		}
	}
	last := domainName(random.IntN(evacuateDomains))
	for domain, out := range evacuated {
		if out && domain != last {
			r.evacuate(domain, false)
		}
	}
	acknowledged := r.evacuate(last, true)
	r.checkEvacuated(last, acknowledged, end)
	r.evacuate(last, false)
	r.checkTakenBack(last)
}

// domainName is the name of a failure domain by its number.
func domainName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// evacuate writes an evacuation, or takes it back, and returns when that was
// acknowledged.
func (r *soakRun) evacuate(domain string, out bool) time.Time {
	key := rowstore.Key{Table: "op", Name: "evacuate/" + domain}
	t := rowstore.Transaction{Deletes: []rowstore.Key{key}}
	if out {
		t = rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: []byte(`{}`)}}}
	}
	written := holdsWithin(patience, func() bool {
		_, err := r.store.Transact(context.Background(), t)
		return err == nil
	})
	if !written {
		r.t.Errorf("evacuation of %s (%v) was never written", domain, out)
	}
	r.note("%s evacuated: %v", domain, out)
	return time.Now()
}

// checkEvacuated has jobs come and checks that nothing starts in a domain from the time
// on that the rule binds all machines.
func (r *soakRun) checkEvacuated(domain string, acknowledged, end time.Time) {
	from := acknowledged.Add(evacuateBound)
	if calm := end.Add(longestFault + evacuateContact); calm.After(from) {
		from = calm
	}
	pause(time.Until(from))
	served := r.sendUntil(func() bool { return time.Since(from) > evacuateWatch })
	if n := r.startsIn(domain, from); n > 0 {
		r.t.Errorf("%d starts in %s, from %v after its evacuation on", n, domain, from.Sub(acknowledged))
	}
	if !served {
		r.t.Errorf("nothing is served while %s is evacuated", domain)
	}
}

// checkTakenBack has jobs come until something starts in a domain.
func (r *soakRun) checkTakenBack(domain string) {
	from := time.Now()
	limit := from.Add(patience)
	r.sendUntil(func() bool { return r.startsIn(domain, from) > 0 || time.Now().After(limit) })
	if r.startsIn(domain, from) == 0 {
		r.t.Errorf("nothing starts in %s after its evacuation was taken back", domain)
	}
}

// sendUntil hands in jobs that are not kept until something holds, and says whether any
// was served.
func (r *soakRun) sendUntil(holds func() bool) (served bool) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	for i := 0; !holds(); i++ {
		id := fmt.Sprintf("%016x", uint64(evacuationsPart)<<48|uint64(r.evacuationJobs.Add(1)))
		e := r.entries[i%len(r.entries)]
		callers.Add(1)
		go func() {
			defer callers.Done()
			status, _ := e.ask(http.MethodPost, id, platformJob(2, true))
			mu.Lock()
			defer mu.Unlock()
			served = served || status == http.StatusOK
		}()
		pause(soakJobPause)
	}
	callers.Wait()
	return served
}

// startsIn counts the starts at targets of a domain since a time.
func (r *soakRun) startsIn(domain string, since time.Time) int {
	r.deployment.mu.Lock()
	defer r.deployment.mu.Unlock()
	n := 0
	for _, m := range r.agents {
		if m.domain != domain {
			continue
		}
		for _, e := range m.allLives() {
			for _, span := range e.Journal() {
				if span.Started.After(since) {
					n++
				}
			}
		}
	}
	return n
}
