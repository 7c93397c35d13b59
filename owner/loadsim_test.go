package owner

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/job"
)

// simQueue is a queue of simulated jobs.
type simQueue struct {
	name string
	// perSecond is the rate of all boxes together.
	perSecond float64
	tasks     int
	took      time.Duration
	priority  int
}

// The queues of a deployment of the kind described in docs/design/decisions-under-load.md,
// scaled to 12 targets of 32 cores. They need two thirds of the capacity.
var simQueues = []simQueue{
	{"wide", 45, 8, 55 * time.Millisecond, 0},
	{"long", 8, 4, 830 * time.Millisecond, 2},
	{"narrow", 130, 2, 185 * time.Millisecond, 1},
}

const (
	simOwners, simGates = 10, 12
	simCPU              = 2750
	// simReportPause is the shortest distance between two reports of a gate to an owner.
	simReportPause = 100 * time.Millisecond
	// simGateBeat is the longest distance between two frames of a gate that has runs of the
	// owner, simOwnerBeat of an owner that has runs at the gate; without any they are
	// simIdleGateBeat and simIdleOwnerBeat.
	simGateBeat, simIdleGateBeat   = 125 * time.Millisecond, 400 * time.Millisecond
	simOwnerBeat, simIdleOwnerBeat = 250 * time.Millisecond, 2 * time.Second
)

// loadSim plays owners, gates and targets in steps of a millisecond.
type loadSim struct {
	t      *testing.T
	now    Time
	seed   uint64
	random *rand.Rand
	owners []*Owner
	sites  []*simSite
	links  []*simLink
	jobs   int
	// worth is what the jobs that ended were worth, 1 each at most.
	worth                          float64
	inTime, late, refused, noValue int
}

// simSite is a gate with its target.
type simSite struct {
	gate    *gate.Gate
	runs    map[job.RunName]*loadRun
	ended   []gate.Ended
	counter int64
}

type loadRun struct{ since, until Time }

// simLink is the link between an owner and a gate.
type simLink struct {
	owner               *Owner
	site                *simSite
	name                string
	ownerDue, gateDue   bool
	ownerSent, gateSent Time
	reported            uint64
}

func newLoadSim(t *testing.T, seed uint64, d Decisions) *loadSim {
	s := &loadSim{t: t, seed: seed, now: 10 * time.Second, random: rand.New(rand.NewPCG(seed, 1))}
	for range simGates {
		site := &simSite{gate: gate.New(gate.Options{Node: "gate", Lease: time.Second, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond}), runs: map[job.RunName]*loadRun{}}
		s.sites = append(s.sites, site)
		site.gate.OnHeartbeat(s.now, gate.Heartbeat{Incarnation: gate.Incarnation{ID: testTarget}, Service: testService, Capacity: job.Resources{CPU: 32000, Memory: 1 << 20}, ClockMS: s.now.Milliseconds(), Sequence: 1})
		s.hold(site)
		s.hold(site)
	}
	for i := range simOwners {
		o := New(Options{
			Incarnation: fmt.Sprintf("entry-%d~1", i), Parts: 1, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond, Lease: time.Second,
			KeepFinished: time.Minute, Log: logr.Discard(), Decisions: d,
			Now: func() Time { return s.now }, WallClock: func() time.Time { return time.Unix(1700000000, 0) },
		}, &fakeWriter{})
		o.random = rand.New(rand.NewPCG(seed, uint64(i)))
		o.SetOwners(simOwners)
		s.owners = append(s.owners, o)
		for g := range s.sites {
			o.AddGate(loadGateName(g), "zone-a")
		}
		for g, site := range s.sites {
			l := &simLink{owner: o, site: site, name: loadGateName(g), ownerDue: true}
			if !site.gate.Connect(s.now, o.options.Incarnation, 1, func() { l.gateDue = true }) {
				t.Fatal("link turned away")
			}
			o.LinkUp(l.name, 1, func() { l.ownerDue = true })
			s.links = append(s.links, l)
			s.toOwner(l)
		}
	}
	return s
}

func (s *loadSim) answer() gate.Answer {
	return gate.Answer{ClockMS: s.now.Milliseconds(), Incarnation: gate.Incarnation{ID: testTarget}}
}

// hold ends the runs that are over, and answers a hold of a gate.
func (s *loadSim) hold(site *simSite) {
	h := site.gate.NextHold(s.now, 0)
	for len(site.ended) > 0 && site.ended[0].Number <= h.Call.Seen {
		site.ended = site.ended[1:]
	}
	var lists gate.HoldAnswer
	for name, r := range site.runs {
		if s.now >= r.until {
			site.counter++
			site.ended = append(site.ended, gate.Ended{Number: site.counter, Name: name, Kind: gate.EndDone})
			delete(site.runs, name)
			continue
		}
		lists.Running = append(lists.Running, gate.Running{Name: name, Percent: int(100 * (s.now - r.since) / (r.until - r.since))})
	}
	lists.Finished = append(lists.Finished, site.ended...)
	s.carryOut(site, site.gate.OnHold(s.now, h, s.answer(), lists, nil))
}

// carryOut carries out starts and stops at a target.
func (s *loadSim) carryOut(site *simSite, a gate.Actions) {
	for _, c := range a.Stops {
		if site.runs[c.Name] != nil {
			site.counter++
			site.ended = append(site.ended, gate.Ended{Number: site.counter, Name: c.Name, Kind: gate.EndStopped})
			delete(site.runs, c.Name)
		}
		site.gate.OnStop(s.now, a.Incarnation, c, s.answer(), nil)
	}
	for _, c := range a.Starts {
		var estimate time.Duration
		for _, q := range simQueues {
			if q.name == c.Spec {
				estimate = q.took
			}
		}
		// Estimates are off by up to 40%, for each task by the same in every play of a seed.
		h := fnv.New64a()
		fmt.Fprint(h, c.Name.TaskName)
		took := time.Duration(float64(estimate) * (0.6 + 0.8*rand.New(rand.NewPCG(s.seed, h.Sum64())).Float64()))
		site.runs[c.Name] = &loadRun{since: s.now, until: s.now + took}
		s.carryOut(site, site.gate.OnStart(s.now, a.Incarnation, c, s.answer(), nil))
	}
}

func (s *loadSim) toOwner(l *simLink) {
	l.gateDue, l.gateSent, l.reported = false, s.now, l.site.gate.Reported()
	f, ok := l.site.gate.Flush(s.now, l.owner.options.Incarnation, 1)
	if !ok {
		s.t.Fatal("no frame of a gate")
	}
	l.owner.OnFrame(l.name, 1, f)
}

func (s *loadSim) toGate(l *simLink) {
	l.ownerDue, l.ownerSent = false, s.now
	f, ok := l.owner.Flush(l.name, 1)
	if !ok {
		s.t.Fatal("no frame of an owner")
	}
	a, _ := l.site.gate.OnFrame(s.now, l.owner.options.Incarnation, 1, f)
	s.carryOut(l.site, a)
}

// step plays a millisecond.
func (s *loadSim) step() {
	s.now += time.Millisecond
	for i, site := range s.sites {
		if (int(s.now/time.Millisecond)+i)%5 == 0 {
			s.hold(site)
		}
		if (int(s.now/time.Millisecond)+i)%100 == 0 {
			s.carryOut(site, site.gate.Tick(s.now))
		}
	}
	for i, o := range s.owners {
		if (int(s.now/time.Millisecond)+i)%10 == 0 {
			o.Tick()
		}
	}
	for _, l := range s.links {
		if since := s.now - l.gateSent; l.gateDue || since >= simIdleGateBeat ||
			(since >= simReportPause && l.site.gate.Reported() != l.reported) ||
			(since >= simGateBeat && l.site.gate.HasRuns(l.owner.options.Incarnation)) {
			s.toOwner(l)
		}
		if since := s.now - l.ownerSent; l.ownerDue || since >= simIdleOwnerBeat || (since >= simOwnerBeat && l.owner.Busy(l.name)) {
			s.toGate(l)
		}
	}
}

// submit submits a job and adds up what it is worth.
func (s *loadSim) submit(o *Owner, q *simQueue) {
	s.jobs++
	arrived := s.now
	objective := time.Duration(1.6*float64(q.took)) + 60*time.Millisecond
	o.RunBestEffort(job.Submission{
		ID: job.ID(fmt.Sprintf("%016x", s.jobs)), Spec: q.name, BestEffort: true,
		Queue: job.Queue{Name: q.name, Service: testService, Attempts: 2, Stretch: 1.6, TargetLatencyMS: 60, Priority: q.priority},
		Steps: []job.Step{{Count: q.tasks, Need: job.Resources{CPU: simCPU, Memory: 64}, EstimateMS: int(q.took / time.Millisecond)}},
	}, time.Minute, func(r BestEffortResult) {
		switch took := s.now - arrived; {
		case r.Refused:
			s.refused++
		case r.State != job.StateCompleted || took > 3*objective:
			s.noValue++
		case took > objective:
			s.late++
			s.worth += 0.2
		default:
			s.inTime++
			s.worth++
		}
	})
}

// play submits jobs for a time: load multiplies the rates of the queues, and share returns
// the box that a job goes to.
func (s *loadSim) play(d time.Duration, load func(q *simQueue) float64, box func() int) {
	for end := s.now + d; s.now < end; {
		s.step()
		for i := range simQueues {
			q := &simQueues[i]
			if s.random.Float64() < q.perSecond*load(q)/1000 {
				s.submit(s.owners[box()], q)
			}
		}
	}
}

func (s *loadSim) String() string {
	var admitted, refused int64
	for _, o := range s.owners {
		admitted += o.stats.AdmittedByView
		refused += o.stats.RefusedByView
	}
	return fmt.Sprintf("worth %.3f, %d jobs: %d in time, %d late, %d refused, %d without value; changed by the view: %d admitted, %d refused",
		s.worth/float64(s.jobs), s.jobs, s.inTime, s.late, s.refused, s.noValue, admitted, refused)
}

func allQueues(load float64) func(*simQueue) float64 {
	return func(*simQueue) float64 { return load }
}

// The shared view earns more where demand is uneven and no less where it is even. Each load
// is played with the same jobs with and without it. Where demand is even the difference
// between two plays is chance, so the bounds leave room for it.
func TestLoadPlayed(t *testing.T) {
	anyBox := func(s *loadSim) func() int { return func() int { return s.random.IntN(simOwners) } }
	for _, c := range []struct {
		name string
		play func(s *loadSim)
		// least is the least difference in worth to the play without the shared view.
		least float64
	}{
		{"one box has all clients, 1.8 times the load", func(s *loadSim) {
			s.play(2*time.Second, allQueues(1.8), func() int { return 0 })
		}, 0.06},
		{"seven of ten clients move to one box and back, 1.6 times the load", func(s *loadSim) {
			s.play(500*time.Millisecond, allQueues(1.6), anyBox(s))
			s.play(time.Second, allQueues(1.6), func() int { return max(6, s.random.IntN(simOwners)) })
			s.play(500*time.Millisecond, allQueues(1.6), anyBox(s))
		}, -0.02},
		{"equal demand, all queues at 1.8", func(s *loadSim) {
			s.play(500*time.Millisecond, allQueues(1), anyBox(s))
			s.play(time.Second, allQueues(1.8), anyBox(s))
			s.play(500*time.Millisecond, allQueues(1), anyBox(s))
		}, -0.02},
		{"equal demand, the narrow queue at 2.4", func(s *loadSim) {
			s.play(500*time.Millisecond, allQueues(1), anyBox(s))
			s.play(time.Second, func(q *simQueue) float64 {
				if q.name == "narrow" {
					return 2.4
				}
				return 1
			}, anyBox(s))
			s.play(500*time.Millisecond, allQueues(1), anyBox(s))
		}, -0.02},
	} {
		t.Run(c.name, func(t *testing.T) {
			const seeds = 3
			var worth [2]float64
			for i, d := range []Decisions{ownLoad, sharedLoad} {
				for seed := range uint64(seeds) {
					s := newLoadSim(t, seed, d)
					c.play(s)
					s.drain()
					t.Logf("seed %d, shared %v: %v", seed, d.SharedLoad, s)
					worth[i] += s.worth / float64(s.jobs) / seeds
				}
			}
			t.Logf("worth %.3f with the own view, %.3f with the shared one", worth[0], worth[1])
			if gain := worth[1] - worth[0]; gain < c.least {
				t.Errorf("the shared view changes the worth by %.3f, want %.3f or more", gain, c.least)
			}
		})
	}
}

// drain plays until all jobs have ended.
func (s *loadSim) drain() {
	for i := 0; s.inTime+s.late+s.refused+s.noValue < s.jobs; i++ {
		if i > 10000 {
			s.t.Fatalf("jobs have not ended: %v", s)
		}
		s.step()
	}
}
