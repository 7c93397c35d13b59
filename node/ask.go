package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rackspur/job"
	"rackspur/member"
	"rackspur/observe"
	"rackspur/owner"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
	"rackspur/rpc"
)

// Errors of job queries.
var (
	// ErrUnknownJob is returned if no such job exists.
	ErrUnknownJob = eris.New("node: unknown job")
	// ErrStateUnknown is returned if the state of a job can't be determined at present.
	ErrStateUnknown = eris.New("node: job state can't be determined at present")
)

// How long a state query waits for the end of a job. Callers query as the last task ends,
// and again only much later.
const (
	// endWait applies to any job; an end takes about 10 ms to be known here.
	endWait = 40 * time.Millisecond
	// finalWait applies once the end is being written, which takes 20 ms, or 0.5 s if the
	// store is slow.
	finalWait = 500 * time.Millisecond
)

// JobState returns the state of a job owned by any entry box.
func (e *Entry) JobState(ctx context.Context, id job.ID) (job.State, error) {
	if state, ok := e.State(ctx, id); ok {
		return state, nil
	}
	inserting := e.inserting(id)
	record, err := e.readRecord(ctx, id)
	switch {
	case err != nil:
		return "", ErrStateUnknown
	case record != nil:
		return e.askState(ctx, record), nil
	}
	final, err := e.readFinal(ctx, id)
	switch {
	case err != nil:
		return "", ErrStateUnknown
	case final != nil && !final.NeverAccepted:
		return final.State, nil
	case inserting:
		return "", ErrStateUnknown
	}
	return "", ErrUnknownJob
}

// inserting reports whether a job is being inserted by this box.
func (e *Entry) inserting(id job.ID) bool {
	t := e.current.Load()
	return t != nil && t.owner.Inserting(id)
}

// askState asks the owner of a job for its state; the job counts as running if the owner
// does not answer.
func (e *Entry) askState(ctx context.Context, r *job.Record) job.State {
	a, err := e.ask(ctx, r.Owner, &peerpb.Question{Kind: peerpb.Question_STATE, Job: string(r.ID)})
	if err != nil || !a.GetKnown() || a.GetState() == "" {
		return job.StateRunning
	}
	return job.State(a.GetState())
}

func (e *Entry) readRecord(ctx context.Context, id job.ID) (*job.Record, error) {
	row, ok, err := rowstore.ReadOne(ctx, e.store, owner.RowKey(owner.TableJobs, id, e.options.Parts))
	if err != nil || !ok {
		return nil, err
	}
	return job.DecodeRecord(row.Value)
}

func (e *Entry) readFinal(ctx context.Context, id job.ID) (*job.Final, error) {
	row, ok, err := rowstore.ReadOne(ctx, e.store, owner.RowKey(owner.TableFinished, id, e.options.Parts))
	if err != nil || !ok {
		return nil, err
	}
	return job.DecodeFinal(row.Value)
}

// ask sends a question to the box of an incarnation.
func (e *Entry) ask(ctx context.Context, incarnation string, q *peerpb.Question) (*peerpb.Answer, error) {
	node := member.NodeOf(incarnation)
	b, err := e.box(ctx, node)
	if err != nil {
		return nil, ErrStateUnknown
	}
	a, err := e.askBox(ctx, b, q)
	if err == nil && a.GetIncarnation() != incarnation {
		return nil, ErrStateUnknown
	}
	return a, err
}

// box returns a box of the membership. A box that is not known is read from the store,
// since changes of the membership arrive with a delay.
func (e *Entry) box(ctx context.Context, node string) (member.Box, error) {
	e.mu.Lock()
	b, ok := e.boxes[node]
	e.mu.Unlock()
	if ok {
		return b, nil
	}
	return member.ReadEntry(ctx, e.store, node)
}

func (e *Entry) askBox(ctx context.Context, b member.Box, q *peerpb.Question) (*peerpb.Answer, error) {
	client, err := e.askClient(b.Address)
	if err != nil {
		return nil, err
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, timeoutFor(q))
	defer cancel()
	a, err := client.Ask(ctx, q)
	if err != nil {
		e.closeIfBroken(caller, b.Address, err)
	}
	return a, err
}

// timeoutFor returns the timeout of a question to another entry box: a state query may
// wait there for the end of the job.
func timeoutFor(q *peerpb.Question) time.Duration {
	if q.GetKind() == peerpb.Question_STATE {
		return finalWait + askTimeout
	}
	return askTimeout
}

// askClient is a client of another entry box.
type askClient struct {
	conn *grpc.ClientConn
	peerpb.PeerClient
}

func (e *Entry) askClient(address string) (*askClient, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.askClients[address]; c != nil {
		return c, nil
	}
	conn, err := rpc.Dial(address, e.options.Metrics)
	if err != nil {
		return nil, err
	}
	c := &askClient{conn: conn, PeerClient: peerpb.NewPeerClient(conn)}
	e.askClients[address] = c
	return c, nil
}

// closeAskClient closes a connection that has failed, so that the next question dials
// anew.
func (e *Entry) closeAskClient(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.askClients[address]; c != nil {
		_ = c.conn.Close()
		delete(e.askClients, address)
	}
}

// closeIfBroken closes a connection on which a call has failed, unless the call itself was the
// reason: other calls may be waiting on it.
func (e *Entry) closeIfBroken(caller context.Context, address string, err error) {
	if caller.Err() != nil {
		return
	}
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		e.closeAskClient(address)
	default:
	}
}

// seeds are the configured boxes, used while no others are known.
type seeds struct {
	addresses []string
	metrics   *observe.Metrics
	mu        sync.Mutex
	conns     map[string]*grpc.ClientConn
}

func newSeeds(addresses []string, self string, m *observe.Metrics) *seeds {
	s := &seeds{metrics: m, conns: map[string]*grpc.ClientConn{}}
	for _, a := range addresses {
		if a != self {
			s.addresses = append(s.addresses, a)
		}
	}
	return s
}

func (s *seeds) some(n int) []peerpb.PeerClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	var clients []peerpb.PeerClient
	for _, i := range rand.Perm(len(s.addresses)) {
		if len(clients) == n {
			break
		}
		address := s.addresses[i]
		conn := s.conns[address]
		if conn == nil {
			var err error
			if conn, err = rpc.Dial(address, s.metrics); err != nil {
				continue
			}
			s.conns[address] = conn
		}
		clients = append(clients, peerpb.NewPeerClient(conn))
	}
	return clients
}
