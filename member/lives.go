package member

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"rackspur/rowstore"
)

// livesWait is how long a call for the first life is held back by the store. It is
// what an entry box asks that keeps no jobs, so it should cost next to nothing.
const livesWait = 5 * time.Second

// FollowLives calls found whenever a life stands in the store, until the context
// ends. A life that stands there says that jobs are kept in this deployment.
func FollowLives(ctx context.Context, s rowstore.Store, found func(), log logr.Logger) {
	f := rowstore.Follower{
		Store: s, Table: tableLives, Log: log, Wait: livesWait, Gather: followGather,
		ReadAll: func(ctx context.Context) (uint64, error) {
			rows, version, err := rowstore.ReadAll(ctx, s, rowstore.Query{Table: tableLives, Part: membersPart})
			if len(rows) > 0 {
				found()
			}
			return version, err
		},
		Change: func(row rowstore.Row) {
			if !row.Gone {
				found()
			}
		},
	}
	f.Run(ctx)
}
