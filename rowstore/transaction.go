package rowstore

// Transaction is atomic: its writes happen if every condition holds.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []Key       `json:"deletes,omitempty"`
	// Merge allows merging with other transactions of the same part. Every row that it puts
	// or deletes must then be in a condition.
	Merge bool `json:"merge,omitempty"`
}

// Entries returns the number of entries that count against the limit of a transaction.
func (t *Transaction) Entries() int {
	return len(t.Conditions) + len(t.Puts) + len(t.Deletes)
}

// Part returns the part of the rows of a transaction with conditions.
func (t *Transaction) Part() string {
	if len(t.Conditions) == 0 {
		return ""
	}
	return t.Conditions[0].Part
}

// size returns the length of the values put, in bytes.
func (t *Transaction) size() int {
	n := 0
	for _, p := range t.Puts {
		n += len(p.Value)
	}
	return n
}

// add appends the contents of another transaction.
func (t *Transaction) add(other *Transaction) {
	t.Conditions = append(t.Conditions, other.Conditions...)
	t.Puts = append(t.Puts, other.Puts...)
	t.Deletes = append(t.Deletes, other.Deletes...)
}

// sharesKey reports whether a condition is on one of the rows.
func (t *Transaction) sharesKey(rows map[Key]bool) bool {
	for _, c := range t.Conditions {
		if rows[c.Key] {
			return true
		}
	}
	return false
}

// addKeys adds the rows of the conditions.
func (t *Transaction) addKeys(rows map[Key]bool) {
	for _, c := range t.Conditions {
		rows[c.Key] = true
	}
}

// holds reports whether all conditions hold for the current rows.
func (t *Transaction) holds(current map[Key]Row) bool {
	for _, cond := range t.Conditions {
		if current[cond.Key].Version != cond.Version {
			return false
		}
	}
	return true
}

// currentRows returns the current rows of the conditions that exist.
func (t *Transaction) currentRows(current map[Key]Row) []Row {
	var rows []Row
	for _, cond := range t.Conditions {
		if row, ok := current[cond.Key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// Outcome is the result of a transaction.
type Outcome struct {
	// Version is the version of the rows written, or the store's version after a conflict.
	Version uint64 `json:"version"`
	// Current holds the current rows of the conditions, given with ErrConflict; a row that
	// does not exist is missing or has version 0.
	Current []Row `json:"current,omitempty"`
}

// rows returns the current rows that exist by their keys.
func (o *Outcome) rows() map[Key]Row {
	current := make(map[Key]Row, len(o.Current))
	for _, row := range o.Current {
		if row.Version != 0 && !row.Gone {
			current[row.Key] = row
		}
	}
	return current
}
