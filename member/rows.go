package member

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"unicode"

	"github.com/rotisserie/eris"

	"rackspur/internal/rendezvous"
	"rackspur/observe"
	"rackspur/rowstore"
)

// The rows of the boxes are spread over several parts of the store by a hash of the node,
// since a part takes only 300 transactions a second and all boxes write at once after a power
// loss, agents two rows each. With 184 entry boxes and 800 agents that is about 200 rows per
// part, which takes less than a second; with twice as many it takes 1.3 s.
const (
	entryParts = 2
	agentParts = 8
)

// hashOf returns the hash of a node's name.
func hashOf(node string) uint32 { return uint32(rendezvous.Hash("", node) >> 32) }

// partOf returns the part that holds a box's row.
func partOf(role Role, node string) string {
	if role == RoleAgent {
		return AgentPart(node)
	}
	return entryPart(int(hashOf(node) % entryParts))
}

func entryPart(i int) string { return fmt.Sprintf("entry-%d", i) }

// AgentPart returns the part that holds the rows about an agent.
func AgentPart(node string) string {
	return fmt.Sprintf("agent-%d", hashOf(node)%agentParts)
}

// allParts returns all parts that hold rows of boxes.
func allParts() []string {
	var parts []string
	for i := range entryParts {
		parts = append(parts, entryPart(i))
	}
	for i := range agentParts {
		parts = append(parts, fmt.Sprintf("agent-%d", i))
	}
	return parts
}

// prefixLength is the length of the prefix of a row's name: four hex digits of the node's
// hash and a dash. With it, reading from a random name on gives a fair sample.
const prefixLength = 5

// hashPrefix returns the prefix of the name of a node's row.
func hashPrefix(hash uint32) string { return fmt.Sprintf("%04x-", hash>>16) }

// keyOf returns the key of a box's row.
func keyOf(role Role, node string) rowstore.Key {
	return rowstore.Key{Table: tableMembers, Part: partOf(role, node), Name: hashPrefix(hashOf(node)) + node}
}

// nodeOf returns the node that a row's name refers to; "" if the name is malformed.
func nodeOf(name string) string {
	if len(name) <= prefixLength {
		return ""
	}
	node := name[prefixLength:]
	if !strings.HasPrefix(name, hashPrefix(hashOf(node))) {
		return ""
	}
	return node
}

// ErrRow is returned for a row of this package's tables that can't be decoded.
var ErrRow = eris.New("member: row")

// decodeBox decodes and validates the row of a box.
func decodeBox(row rowstore.Row) (Box, error) {
	var d Box
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return Box{}, eris.Wrap(ErrRow, err.Error())
	}
	if d.Node == "" || d.Node != nodeOf(row.Name) {
		return Box{}, eris.Wrapf(ErrRow, "node %.40q under another name", d.Node)
	}
	if d.Role != RoleEntry && d.Role != RoleAgent {
		return Box{}, eris.Wrapf(ErrRow, "role %.40q is not known", d.Role)
	}
	if !canBeReached(d.Address) {
		return Box{}, eris.Wrapf(ErrRow, "address %.40q", d.Address)
	}
	if d.Incarnation == "" {
		return Box{}, eris.Wrap(ErrRow, "no incarnation")
	}
	return d, nil
}

// canBeReached reports whether an address has a host and a port that a box can listen on.
func canBeReached(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || strings.ContainsFunc(host, unicode.IsControl) {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// decodeBoxes decodes rows of boxes; it notes and skips those that can't be decoded.
func decodeBoxes(rows []rowstore.Row, unreadable *observe.UnreadableLog) []Box {
	var all []Box
	for _, row := range rows {
		d, err := decodeBox(row)
		if err != nil {
			unreadable.Note(tableMembers, row.Name, err.Error())
			continue
		}
		all = append(all, d)
	}
	return all
}

// ErrUnknown is returned if no box of the name is registered.
var ErrUnknown = eris.New("member: unknown box")

// ReadEntry reads the row of an entry box.
func ReadEntry(ctx context.Context, s rowstore.Store, node string) (Box, error) {
	row, ok, err := rowstore.ReadOne(ctx, s, keyOf(RoleEntry, node))
	if err != nil {
		return Box{}, err
	}
	if !ok {
		return Box{}, ErrUnknown
	}
	d, err := decodeBox(row)
	if err != nil {
		return Box{}, eris.Wrap(ErrUnknown, err.Error())
	}
	return d, nil
}

// SampleEntries returns n random entry boxes, or all if there are fewer. Its cost does not grow
// with the deployment, since hundreds of agents may call it at once after a loss of entry
// boxes.
func SampleEntries(ctx context.Context, s rowstore.Store, n int, unreadable *observe.UnreadableLog) ([]Box, error) {
	first := rand.IntN(entryParts)
	from := hashPrefix(rand.Uint32())
	draws := []rowstore.Query{{Part: entryPart(first), From: from}}
	for i := range entryParts - 1 {
		draws = append(draws, rowstore.Query{Part: entryPart((first + 1 + i) % entryParts)})
	}
	draws = append(draws, rowstore.Query{Part: entryPart(first), Until: from})
	var drawn []Box
	for _, q := range draws {
		q.Table = tableMembers
		q.Limit = n - len(drawn)
		page, err := s.Read(ctx, q)
		if err != nil {
			return drawn, err
		}
		drawn = append(drawn, decodeBoxes(page.Rows, unreadable)...)
		if len(drawn) >= n {
			break
		}
	}
	return drawn, nil
}
