package member

import (
	"context"

	"rackspur/observe"
	"rackspur/rowstore"
)

// ReadPending returns the number of waiting jobs by queue, summed over all lives but the
// caller's own. parts is the number of parts that jobs are spread over.
func ReadPending(ctx context.Context, s rowstore.Store, parts int, own string, unreadable *observe.UnreadableLog) (map[string]int, error) {
	rows, err := rowstore.ScanAll(ctx, s, tableLives, ring{parts: parts}.allParts())
	if err != nil {
		return nil, err
	}
	pending := map[string]int{}
	for _, row := range rows {
		l, err := decodeLife(row)
		if err != nil {
			unreadable.Note(tableLives, row.Name, err.Error())
			continue
		}
		if l.Incarnation == own {
			continue
		}
		for queue, n := range l.Pending {
			pending[queue] += max(0, n)
		}
	}
	return pending, nil
}
