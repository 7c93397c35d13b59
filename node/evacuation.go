package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"rackspur/evacuation"
	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/rowstore"
)

// ReadEvacuations reads which failure domains, sorted, are evacuated, and the version of
// the store that the answer covers.
type ReadEvacuations func(ctx context.Context, s rowstore.Store) (domains []string, version uint64, err error)

// Times of an agent's news of evacuations.
const (
	// defaultEvacuate holds where the platform names no time for evacuations.
	defaultEvacuate = 5 * time.Second
	// evacuationReserve is how long before the bound an agent looks into the store by
	// itself: the time until its next look, and two reads that hang, one directly and one
	// through a peer.
	evacuationReserve = 2 * time.Second
	// leastNewsAge is the age up to which news counts as fresh whatever the bound. An
	// owner without runs at a gate sends a frame each 2 s, but there are several of them.
	leastNewsAge = time.Second
	// newsPause is the time between two looks at the age of the news.
	newsPause = 500 * time.Millisecond
	// evacuationTimeout is the time for a read.
	evacuationTimeout = 700 * time.Millisecond
)

// evacuationWatch sees to it that a gate's news of evacuations stays fresh. Usually its
// owners' frames do; where none of them has fresh news, the agent reads the store.
type evacuationWatch struct {
	store  rowstore.Store
	read   ReadEvacuations
	driver *gate.Driver
	// mostAge is the age from which the agent reads by itself.
	mostAge time.Duration
	log     logr.Logger
	// failing says that the newest read got no answer.
	failing bool
}

// newEvacuationWatch returns the watch of an agent.
func newEvacuationWatch(o Options, s rowstore.Store, d *gate.Driver) *evacuationWatch {
	bound := o.Evacuate
	if bound <= 0 {
		bound = defaultEvacuate
	}
	return &evacuationWatch{store: s, read: o.ReadEvacuations, driver: d, mostAge: max(leastNewsAge, bound-evacuationReserve), log: o.Log}
}

// run looks at the age of the news until the context ends.
func (w *evacuationWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		if age, _, known := w.driver.EvacuationsAge(); !known || age > w.mostAge {
			w.refresh(ctx)
		}
		wait.For(ctx, newsPause)
	}
}

// refresh reads the store.
func (w *evacuationWatch) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	sent := w.driver.Now()
	domains, version, err := w.read(ctx, w.store)
	if err != nil {
		w.tellFailure(err)
		return
	}
	w.failing = false
	w.driver.TakeEvacuations(evacuation.News{Domains: domains, Version: version, AsOf: sent})
}

// tellFailure writes a line for the first of several reads without an answer.
func (w *evacuationWatch) tellFailure(err error) {
	if w.failing {
		return
	}
	w.failing = true
	age, evacuated, known := w.driver.EvacuationsAge()
	w.log.Info("Evacuations not read; the newest news stands.", "known", known, "newsAgeMS", age.Milliseconds(), "evacuated", evacuated, "error", err.Error())
}
