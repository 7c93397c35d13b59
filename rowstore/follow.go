package rowstore

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
)

// Times of a follower. In the smallest deployments its knowledge must be at most 2 s old, and
// must be so again 3 s after the store can be reached again. Within that time one direct call
// and one through a peer may time out in turn.
const (
	// changesWait is how long the store waits for changes by default. It bounds the age of
	// the follower's knowledge when nothing changes, at two calls a second for each table.
	changesWait = 500 * time.Millisecond
	// changesMargin is added to the timeout of a call for the round trip; a slow store takes
	// up to 250 ms.
	changesMargin = 500 * time.Millisecond
	// followRetryPause is the time before a failed call is retried; it doubles with each
	// failure in a row, up to maxFollowRetryPause.
	followRetryPause    = 100 * time.Millisecond
	maxFollowRetryPause = 200 * time.Millisecond
	// rereadMaxAge is how old pages may be when a table is reread; the call for changes that
	// follows returns what is newer. It lets followers that reread a table at the same time
	// share the reads.
	rereadMaxAge = 2 * time.Second
)

// Follower follows a table: it reads the whole table, then waits for changes. It rereads the
// table if the store has dropped the history that it needs. The store also answers when
// nothing has changed; a call without an answer is abandoned, since its connection may be
// dead.
type Follower struct {
	Store Store
	Table string
	// Parts are the parts of the table; nil means the part with the empty name.
	Parts []string
	// OnReread, if not nil, is called before the table is read or reread.
	OnReread func()
	// Change is called for each row that was read, written or deleted.
	Change func(Row)
	// Confirmed, if not nil, is called once all changes made before the time sent have been
	// passed to Change, with the version that they cover.
	Confirmed func(sent time.Time, version uint64)
	// Wait is how long the store waits for changes; 0 means 0.5 s. The follower's knowledge
	// is at most 0.5 s older than this.
	Wait time.Duration
	// BatchDelay is a pause after changes, so that those that follow closely are fetched with one
	// call.
	BatchDelay time.Duration
	Log        logr.Logger
}

// wait returns how long the store waits for changes.
func (f *Follower) wait() time.Duration {
	if f.Wait > 0 {
		return f.Wait
	}
	return changesWait
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	t := &followerState{Follower: f, confirmed: time.Now()}
	pause := followRetryPause
	for ctx.Err() == nil {
		err := t.next(ctx)
		switch {
		case err == nil:
			pause = followRetryPause
		case errors.Is(err, ErrHistoryGone):
			f.Log.Info("History is gone; reading anew.", "table", f.Table, "version", t.version)
			t.synced = false
			t.scan = nil
			// The store may drop its history again at once.
			wait.For(ctx, followRetryPause)
		default:
			t.noteFailure(err)
			wait.For(ctx, pause)
			pause = min(2*pause, maxFollowRetryPause)
		}
	}
}

// followerState is the progress of a follower.
type followerState struct {
	*Follower
	// synced is set once the table was read; all changes up to version are known then.
	synced  bool
	version uint64
	// scan is the reading of the table that is under way; nil before the first page.
	scan *Scan
	// sent is when the newest call was sent, asOf the time up to which everything is known
	// once that call is answered, and confirmed the time up to which everything is known.
	sent, asOf, confirmed time.Time
	failing               bool
}

// next makes the next call.
func (t *followerState) next(ctx context.Context) error {
	t.sent = time.Now()
	t.asOf = t.sent
	call := t.poll
	if !t.synced {
		call = t.readPage
	}
	complete, err := call(ctx)
	if err != nil {
		return err
	}
	if complete {
		t.confirm()
	}
	return nil
}

// readPage reads the next page of the table; it is complete with the last one.
func (t *followerState) readPage(ctx context.Context) (complete bool, err error) {
	if t.scan == nil {
		t.scan = NewScan(t.Table, t.Parts)
		t.scan.MayBeOld = rereadMaxAge
		if t.OnReread != nil {
			t.OnReread()
		}
	}
	rows, err := t.scan.Next(ctx, t.Store)
	if err != nil {
		return false, err
	}
	for _, row := range rows {
		t.Change(row)
	}
	if !t.scan.Done() {
		return false, nil
	}
	t.version = t.scan.Version()
	t.asOf = t.scan.AsOf()
	t.synced = true
	t.scan = nil
	return true, nil
}

// poll waits for changes and handles them. It is not complete if the store has more.
func (t *followerState) poll(ctx context.Context) (complete bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, t.wait()+changesMargin)
	defer cancel()
	page, err := t.Store.Changes(callCtx, t.Table, t.version, t.wait())
	if err != nil {
		return false, err
	}
	t.asOf = t.sent.Add(-page.Late)
	for _, row := range page.Rows {
		t.Change(row)
	}
	t.version = max(t.version, resumeFrom(page))
	if len(page.Rows) > 0 && !page.More {
		wait.For(ctx, t.BatchDelay)
	}
	return !page.More, nil
}

// resumeFrom returns the version to continue from. A page may hold only the first of many
// changes, so its own version counts only if it has none.
func resumeFrom(p Page) uint64 {
	through := p.Through
	if len(p.Rows) > 0 {
		through = max(through, p.Rows[len(p.Rows)-1].Version)
	}
	if through == 0 {
		return p.Version
	}
	return through
}

// confirm records an answer.
func (t *followerState) confirm() {
	if t.failing {
		t.Log.Info("Following a table again.", "table", t.Table, "version", t.version, "lostMS", time.Since(t.confirmed).Milliseconds())
	}
	t.failing = false
	t.confirmed = t.asOf
	if t.Confirmed != nil {
		t.Confirmed(t.asOf, t.version)
	}
}

// noteFailure records a call without an answer; the first of several in a row is logged.
func (t *followerState) noteFailure(err error) {
	if t.failing {
		return
	}
	t.failing = true
	t.Log.Info("Following a table failed.", "table", t.Table, "version", t.version,
		"waitedMS", time.Since(t.sent).Milliseconds(), "confirmedMS", time.Since(t.confirmed).Milliseconds(), "error", err.Error())
}
