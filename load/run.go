package load

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rackspur/api"
	"rackspur/caller"
	"rackspur/internal/standin"
)

const (
	// idBatch is the number of ids requested when a pool is empty.
	idBatch = 64
	// submitTimeout bounds the time to submit a job and wait for its answer.
	submitTimeout = 60 * time.Second
)

// ErrRun is returned when a load can't be sent.
var ErrRun = eris.New("load: can't run")

// Options holds the entry boxes and credentials of a run.
type Options struct {
	// Entries are the base URLs of the entry boxes.
	Entries []string
	// Tokens maps each member to its credentials, "member:secret".
	Tokens map[string]string
}

// sample is the measurement of one submission.
type sample struct {
	kind     string
	at       time.Duration
	response time.Duration
	ideal    time.Duration
	tasks    int
	work     time.Duration
	outcome  string
	reason   string
	wrong    bool
}

// idPool holds unused ids of one member, including those returned with answers.
type idPool struct {
	mu  sync.Mutex
	ids []string
}

func (p *idPool) take() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ids) == 0 {
		return ""
	}
	last := len(p.ids) - 1
	id := p.ids[last]
	p.ids = p.ids[:last]
	return id
}

func (p *idPool) put(ids ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if id != "" {
			p.ids = append(p.ids, id)
		}
	}
}

// runner sends a load and collects its samples.
type runner struct {
	scenario *Scenario
	clients  map[string][]*caller.Client
	pools    map[string]*idPool

	mu      sync.Mutex
	samples []sample
}

// Run sends the load of a scenario and returns the report. The load is open-loop:
// submissions don't wait for earlier ones, and response times count from the time
// at which a submission was due.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	r := &runner{scenario: s, clients: map[string][]*caller.Client{}, pools: map[string]*idPool{}}
	for _, k := range s.Kinds {
		if o.Tokens[k.Member] == "" {
			return nil, eris.Wrapf(ErrRun, "no token for member %q", k.Member)
		}
		if r.pools[k.Member] != nil {
			continue
		}
		r.pools[k.Member] = &idPool{}
		for i := range o.Entries {
			rotated := append(append([]string{}, o.Entries[i:]...), o.Entries[:i]...)
			r.clients[k.Member] = append(r.clients[k.Member], caller.New(rotated, o.Tokens[k.Member]))
		}
		if err := r.refill(ctx, k.Member, 0); err != nil {
			return nil, err
		}
	}
	list := s.arrivals()
	start := time.Now()
	r.send(ctx, list, start)
	return r.report(list, time.Since(start)), nil
}

func (r *runner) refill(ctx context.Context, member string, i int) error {
	clients := r.clients[member]
	ids, refused, err := clients[i%len(clients)].IDs(ctx, idBatch)
	if err != nil {
		return eris.Wrap(ErrRun, err.Error())
	}
	if refused != nil {
		return eris.Wrapf(ErrRun, "requesting ids: %s", refused.Problem.Detail)
	}
	r.pools[member].put(ids...)
	return nil
}

func (r *runner) send(ctx context.Context, list []arrival, start time.Time) {
	var wg sync.WaitGroup
	for i := range list {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-time.After(time.Until(start.Add(list[i].at))):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, submitTimeout)
			defer cancel()
			r.add(r.submit(ctx, i, &list[i], start))
		}()
	}
	wg.Wait()
}

func (r *runner) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// submit sends a submission and returns its measurement.
func (r *runner) submit(ctx context.Context, i int, a *arrival, start time.Time) sample {
	s := sample{kind: a.kind.Name, at: a.at, ideal: a.ideal(r.scenario), tasks: len(a.job.Tasks), work: a.work}
	defer func() { s.response = time.Since(start) - a.at }()
	member := a.kind.Member
	id := r.pools[member].take()
	for id == "" {
		if err := r.refill(ctx, member, i); err != nil {
			s.outcome = "no-id"
			return s
		}
		id = r.pools[member].take()
	}
	clients := r.clients[member]
	reply, err := clients[i%len(clients)].Submit(ctx, id, a.job)
	s.response = time.Since(start) - a.at
	if err != nil {
		s.outcome = string(api.Unknown)
		return s
	}
	r.pools[member].put(reply.NextID())
	s.outcome = string(reply.Outcome())
	if reply.Problem != nil {
		s.reason = reply.Problem.Reason
		return s
	}
	s.wrong = !resultsMatch(a.job, reply.Answer)
	return s
}

// resultsMatch reports whether each result matches the payload of its task.
func resultsMatch(job *api.Job, a *api.Answer) bool {
	if len(a.Results) != len(job.Tasks) {
		return false
	}
	for i, t := range job.Tasks {
		var result standin.Result
		if err := json.Unmarshal(a.Results[i].Result, &result); err != nil {
			return false
		}
		if result.Digest != standin.Digest(t.Payload) {
			return false
		}
	}
	return true
}
