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

// evacuateSoakSeeds are the seeds of TestSoakEvacuations. Each takes about 15 s.
var evacuateSoakSeeds = []uint64{
	1, // no failure known
	// A target whose link was silent before its domain was evacuated stayed rated as slow,
	// and got no more work after the evacuation was revoked.
	62423445606,
}

// Times of a soak with evacuations.
const (
	// evacuateSeconds is the usual length of a round.
	evacuateSeconds = 4
	// evacuateBound is the longest time from the acknowledgement of an evacuation to the
	// last start there (evacuateMs in the settings).
	evacuateBound = 5 * time.Second
	// evacuateRecovery is how long after a fault the bound applies again (contactMs in the
	// settings).
	evacuateRecovery = 4 * time.Second
	// longestFault is the longest duration of a fault: 2.1 s and the start of a process.
	longestFault = 3 * time.Second
	// evacuateWatch is how long starts are watched for once the bound applies.
	evacuateWatch = 1500 * time.Millisecond
	// evacuateMinMS is the shortest time between two of the operator's changes,
	// evacuateSpreadMS the range above it.
	evacuateMinMS    = 100
	evacuateSpreadMS = 1200
	// evacuateDomains is the number of failure domains.
	evacuateDomains = 3
)

// evacuationsPlan is the plan of TestSoakEvacuations.
var evacuationsPlan = soakPlan{
	resend: soakResend, jobPause: soakJobPause, faultOdds: 20, domains: evacuateDomains,
	background: func(r *soakRun, end time.Time, callers *sync.WaitGroup) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.evacuations(end)
		}()
	},
}

// TestSoakEvacuations is the soak in which failure domains are evacuated and the
// evacuations revoked, in random order and during faults. At the end of a round one domain
// stays evacuated: once the bound applies nothing may start there, but jobs must be served
// elsewhere; after the evacuation is revoked something must start there again.
func TestSoakEvacuations(t *testing.T) {
	length := time.Duration(envUint(soakSecondsVariable, evacuateSeconds)) * time.Second
	rounds := int(envUint(soakRoundsVariable, 1))
	for _, seed := range chooseSeeds(evacuateSoakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, evacuationsPlan, seed, length, rounds) })
	}
}

// evacuations evacuates domains and revokes that at random until a time, then checks the
// one domain that stays evacuated.
func (r *soakRun) evacuations(end time.Time) {
	random := r.randomFor(evacuationsPart)
	evacuated := map[string]bool{}
	for time.Now().Before(end) {
		pause(milliseconds(evacuateMinMS + random.IntN(evacuateSpreadMS)))
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
	r.checkRevoked(last)
}

// domainName returns the name of failure domain i.
func domainName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// evacuate writes or revokes an evacuation and returns when that was acknowledged.
func (r *soakRun) evacuate(domain string, out bool) time.Time {
	key := rowstore.Key{Table: "op", Name: "evacuate/" + domain}
	t := rowstore.Transaction{Deletes: []rowstore.Key{key}}
	if out {
		t = rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: []byte(`{}`)}}}
	}
	written := holdsWithin(waitTimeout, func() bool {
		_, err := r.store.Transact(context.Background(), t)
		return err == nil
	})
	if !written {
		r.t.Errorf("evacuation of %s (%v) could not be written", domain, out)
	}
	r.note("%s evacuated: %v", domain, out)
	return time.Now()
}

// checkEvacuated sends jobs and checks that nothing starts in a domain once the bound
// applies.
func (r *soakRun) checkEvacuated(domain string, acknowledged, end time.Time) {
	from := acknowledged.Add(evacuateBound)
	if faultsEnded := end.Add(longestFault + evacuateRecovery); faultsEnded.After(from) {
		from = faultsEnded
	}
	pause(time.Until(from))
	served := r.sendUntil(func() bool { return time.Since(from) > evacuateWatch })
	if n := r.startsIn(domain, from); n > 0 {
		r.t.Errorf("%d starts in %s later than %v after its evacuation", n, domain, from.Sub(acknowledged))
	}
	if !served {
		r.t.Errorf("no job is served while %s is evacuated", domain)
	}
}

// checkRevoked sends jobs until something starts in a domain.
func (r *soakRun) checkRevoked(domain string) {
	from := time.Now()
	limit := from.Add(waitTimeout)
	r.sendUntil(func() bool { return r.startsIn(domain, from) > 0 || time.Now().After(limit) })
	if r.startsIn(domain, from) == 0 {
		r.t.Errorf("nothing starts in %s after its evacuation was revoked", domain)
	}
}

// sendUntil submits best-effort jobs until a condition holds and reports whether any was
// served.
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
			if status == http.StatusServiceUnavailable {
				r.noteRefusedOnce(id)
			}
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
