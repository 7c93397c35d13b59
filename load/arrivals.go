package load

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"rackspur/api"
)

// arrival is a submission and the time at which it is due.
type arrival struct {
	at   time.Duration
	kind *Kind
	job  *api.Job
	// runs holds the run times of the tasks, longest their maximum and work their sum.
	runs          []time.Duration
	longest, work time.Duration
}

// payload is the task payload that the stand-in targets read.
type payload struct {
	MS  int `json:"ms"`
	Job int `json:"job"`
	Of  int `json:"of"`
}

// arrivals generates the whole load, sorted by time. The same seed generates the
// same load. Each kind arrives by its own Poisson process.
func (s *Scenario) arrivals() []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed))
	shares := 0.0
	for _, k := range s.Kinds {
		shares += k.Share
	}
	var list []arrival
	for i := range s.Kinds {
		k := &s.Kinds[i]
		rate := s.Rate() * k.Share / shares
		for at := time.Duration(0); ; {
			gap := rng.ExpFloat64() / (rate * s.burstFactor(k.Name, at))
			at += time.Duration(gap * float64(time.Second))
			if at >= s.Duration {
				break
			}
			list = append(list, k.draw(rng, at))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
	for i := range list {
		list[i].setPayloads(i)
	}
	return list
}

// draw returns an arrival with a job of random size and run times.
func (k *Kind) draw(rng *rand.Rand, at time.Duration) arrival {
	a := arrival{at: at, kind: k, job: &api.Job{Kind: k.Name, DeadlineMS: k.DeadlineMS}}
	for range k.Tasks[0] + rng.IntN(k.Tasks[1]-k.Tasks[0]+1) {
		ms := k.MS[0] + rng.IntN(k.MS[1]-k.MS[0]+1)
		if rng.Float64() < k.Straggler {
			ms = k.StragglerMS
		}
		run := time.Duration(ms) * time.Millisecond
		a.longest = max(a.longest, run)
		a.work += run
		a.runs = append(a.runs, run)
		a.job.Tasks = append(a.job.Tasks, api.Task{ExpectMS: ms})
	}
	return a
}

// setPayloads sets the payloads, which are unique across jobs and tasks.
func (a *arrival) setPayloads(number int) {
	for i := range a.job.Tasks {
		t := &a.job.Tasks[i]
		t.Payload, _ = json.Marshal(payload{MS: t.ExpectMS, Job: number, Of: i})
		t.ExpectMS = 0
	}
}

// ideal returns the lower bound of the response time: the caller's round trip plus
// the longest task or the work divided by all slots, whichever is larger.
func (a *arrival) ideal(s *Scenario) time.Duration {
	return s.RTT + max(a.longest, a.work/time.Duration(s.Slots))
}
