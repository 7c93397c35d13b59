package member

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"rackspur/observe"
	"rackspur/rowstore"
)

// livesWait is how long the store holds a call for the first life. It is long since boxes
// that store no jobs make these calls too.
const livesWait = 5 * time.Second

// FollowLives calls found for each life in the store until the context ends. A life shows
// that the deployment stores jobs. parts is the number of parts that jobs are spread over.
func FollowLives(ctx context.Context, s rowstore.Store, parts int, found func(), unreadable *observe.UnreadableLog, log logr.Logger) {
	handle := func(row rowstore.Row) {
		if _, err := decodeLife(row); err != nil {
			unreadable.Note(tableLives, row.Name, err.Error())
			return
		}
		found()
	}
	f := rowstore.Follower{
		Store: s, Table: tableLives, Log: log, Wait: livesWait, BatchDelay: followGather,
		Parts: ring{parts: parts}.allParts(),
		Change: func(row rowstore.Row) {
			if !row.Gone {
				handle(row)
			}
		},
	}
	f.Run(ctx)
}
