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

// ReadEvacuations reads the evacuated failure domains, sorted, and the version of the
// store that they were read at.
type ReadEvacuations func(ctx context.Context, s rowstore.Store) (domains []string, version uint64, err error)

// Times of the evacuation watch.
const (
	// defaultEvacuationBound is the default of Options.EvacuationBound.
	defaultEvacuationBound = 5 * time.Second
	// evacuationReserve is how long before the bound an agent reads the store itself: time
	// for the next check and for two reads that time out, one direct and one through a peer.
	evacuationReserve = 2 * time.Second
	// minReadAge is the age up to which the list counts as fresh whatever the bound. An
	// owner without runs at a gate sends a frame every 2 s, but a gate has several owners.
	minReadAge = time.Second
	// evacuationCheckPause is the pause between two checks of the list's age.
	evacuationCheckPause = 500 * time.Millisecond
	// evacuationReadTimeout is the timeout of a read.
	evacuationReadTimeout = 700 * time.Millisecond
)

// evacuationWatch keeps a gate's list of evacuated failure domains up to date. It reads
// the store if no owner has sent a recent list.
type evacuationWatch struct {
	store  rowstore.Store
	read   ReadEvacuations
	driver *gate.Driver
	// maxAge is the age above which the agent reads the store.
	maxAge time.Duration
	log    logr.Logger
	// failing says that the last read failed.
	failing bool
}

func newEvacuationWatch(o Options, s rowstore.Store, d *gate.Driver) *evacuationWatch {
	bound := o.EvacuationBound
	if bound <= 0 {
		bound = defaultEvacuationBound
	}
	return &evacuationWatch{store: s, read: o.ReadEvacuations, driver: d, maxAge: max(minReadAge, bound-evacuationReserve), log: o.Log}
}

// run reads the store whenever the list is too old, until the context ends.
func (w *evacuationWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		if age, _, known := w.driver.EvacuationsAge(); !known || age > w.maxAge {
			w.refresh(ctx)
		}
		wait.For(ctx, evacuationCheckPause)
	}
}

// refresh reads the evacuations from the store.
func (w *evacuationWatch) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, evacuationReadTimeout)
	defer cancel()
	sent := w.driver.Now()
	domains, version, err := w.read(ctx, w.store)
	if err != nil {
		w.logFailure(err)
		return
	}
	w.failing = false
	w.driver.UpdateEvacuations(evacuation.News{Domains: domains, Version: version, AsOf: sent})
}

// logFailure logs the first of several failed reads in a row.
func (w *evacuationWatch) logFailure(err error) {
	if w.failing {
		return
	}
	w.failing = true
	age, evacuated, known := w.driver.EvacuationsAge()
	w.log.Info("Evacuations not read; the last known ones stay in force.", "known", known, "newsAgeMS", age.Milliseconds(), "evacuated", evacuated, "error", err.Error())
}
