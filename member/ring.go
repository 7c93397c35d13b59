package member

import (
	"context"
	"fmt"
	"strings"

	"rackspur/rowstore"
)

// ring orders lives by a hash of their nodes. It is divided into parts of the store, since
// the renewals of a large deployment exceed what a single part can take: 184 entry boxes make
// 526 a second and a part takes 300, so that leases would expire.
type ring struct {
	// parts is the number of parts that the ring is divided into.
	parts int
}

// partOf returns the part that holds the lives of a node.
func (r ring) partOf(node string) string { return r.partName(r.partIndex(node)) }

// partIndex returns the index of a node's part. Parts are in the order of the hashes.
func (r ring) partIndex(node string) int { return int(uint64(hashOf(node)) * uint64(r.parts) >> 32) }

func (r ring) partName(i int) string { return fmt.Sprintf("lives-%d", i) }

// allParts returns all parts that hold lives.
func (r ring) allParts() []string {
	var all []string
	for i := range r.parts {
		all = append(all, r.partName(i))
	}
	return all
}

// key returns the key of a life's row.
func (r ring) key(incarnation string) rowstore.Key {
	node := NodeOf(incarnation)
	return rowstore.Key{Table: tableLives, Part: r.partOf(node), Name: hashPrefix(hashOf(node)) + incarnation}
}

// LifeKey returns the key of a life's row if jobs are spread over this number of parts.
func LifeKey(incarnation string, parts int) rowstore.Key { return ring{parts: parts}.key(incarnation) }

// fence returns the key of the fence row that the life's own row is conditional on.
func (r ring) fence(incarnation string) rowstore.Key {
	return fenceKey(r.partOf(NodeOf(incarnation)), incarnation)
}

// NodeOf returns the node of an incarnation.
func NodeOf(incarnation string) string {
	node, _, _ := strings.Cut(incarnation, "~")
	return node
}

// ringPage is the page size for reading lives: the caller's own one, maybe a former one of
// the same node, and the next few.
const ringPage = 6

// readFrom reads the lives around the ring, starting at a node, page by page until visit
// returns true or all have been read.
func (r ring) readFrom(ctx context.Context, s rowstore.Store, node string, visit func([]rowstore.Row) (enough bool)) error {
	first, begin := r.partIndex(node), hashPrefix(hashOf(node))
	for i := range r.parts + 1 {
		q := rowstore.Query{Table: tableLives, Part: r.partName((first + i) % r.parts), Limit: ringPage}
		if i == 0 {
			q.From = begin
		}
		if i == r.parts {
			q.Until = begin
		}
		enough, err := readPages(ctx, s, q, visit)
		if enough || err != nil {
			return err
		}
	}
	return nil
}

// readPages reads what a query selects, page by page until visit returns true.
func readPages(ctx context.Context, s rowstore.Store, q rowstore.Query, visit func([]rowstore.Row) (enough bool)) (enough bool, err error) {
	for {
		page, err := withTimeout(ctx, callTimeout, func(ctx context.Context) (rowstore.Page, error) { return s.Read(ctx, q) })
		if err != nil {
			return false, err
		}
		if visit(page.Rows) {
			return true, nil
		}
		last := page.LastName()
		if !page.More || last == "" {
			return false, nil
		}
		q.From = last + "\x00"
	}
}
