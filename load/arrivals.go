package load

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"rackspur/api"
)

// arrival is one submission of the load with its time.
type arrival struct {
	at   time.Duration
	kind *Kind
	job  *api.Job
	// runs are the run times of the tasks, longest and work their largest and sum.
	runs          []time.Duration
	longest, work time.Duration
}

// payload is what the stand-in targets understand of a task.
type payload struct {
	MS  int `json:"ms"`
	Job int `json:"job"`
	Of  int `json:"of"`
}

// arrivals draws the whole load in advance, the same for the same seed. Each
// kind arrives by a Poisson process of its own.
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
			gap := rng.ExpFloat64() / (rate * s.factor(k.Name, at))
			at += time.Duration(gap * float64(time.Second))
			if at >= s.Duration {
				break
			}
			list = append(list, k.draw(rng, at))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
	for i := range list {
		list[i].fill(i)
	}
	return list
}

// draw makes the job of one arrival.
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

// fill writes the payloads, which differ from those of all other jobs.
func (a *arrival) fill(number int) {
	for i := range a.job.Tasks {
		t := &a.job.Tasks[i]
		t.Payload, _ = json.Marshal(payload{MS: t.ExpectMS, Job: number, Of: i})
		t.ExpectMS = 0
	}
}

// ideal is the lower bound of the response time: one round trip of the caller
// and the larger of the longest task and the work divided by all slots.
func (a *arrival) ideal(s *Scenario) time.Duration {
	return s.RTT + max(a.longest, a.work/time.Duration(s.Slots))
}
