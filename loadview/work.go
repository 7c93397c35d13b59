// Package loadview aggregates the waiting work of the owners that share gates. Each owner
// reports its waiting work to its gates, each gate reports to an owner the sum of the
// others', and the owner estimates from these sums how much work is ahead of a new job.
//
// The package has no clock: times are passed in, on the clock of the process.
package loadview

import "time"

// Buckets is the number of intervals by which work is divided by how soon it must start.
const Buckets = 6

// MaxAge is the age from which a report does not count. It is several times the longest
// distance between two frames of a link with runs (375 ms), so that a late frame does not
// make a report old.
const MaxAge = time.Second

// bounds are the upper bounds of all buckets but the last. They double, as errors in when
// work must start matter in proportion to the slack: short tasks have about 100 ms of it,
// long ones about 500 ms.
var bounds = [Buckets - 1]time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// BucketOf returns the bucket of work that must start within a time.
func BucketOf(within time.Duration) int {
	for i, b := range bounds {
		if within <= b {
			return i
		}
	}
	return Buckets - 1
}

// Work is waiting work in core-milliseconds, by bucket.
type Work [Buckets]int

// UpTo returns the work in the buckets up to and including one. A new job is the least
// urgent of its kind, so the work in its own bucket counts as ahead of it.
func (w Work) UpTo(bucket int) int {
	total := 0
	for _, n := range w[:bucket+1] {
		total += n
	}
	return total
}

// Total returns the work of all buckets.
func (w Work) Total() int { return w.UpTo(Buckets - 1) }

// plus returns the sum of two amounts.
func (w Work) plus(other Work) Work {
	for i, n := range other {
		w[i] += n
	}
	return w
}

// Encode returns the work as a field of a frame: nil if there is none, and without empty
// buckets at the end.
func (w Work) Encode() []int {
	n := Buckets
	for n > 0 && w[n-1] == 0 {
		n--
	}
	if n == 0 {
		return nil
	}
	return append([]int(nil), w[:n]...)
}

// decode returns the work in a field of a frame. Negative amounts count as 0, and buckets
// that are not known here are ignored.
func decode(field []int) Work {
	var w Work
	for i, n := range field[:min(len(field), Buckets)] {
		w[i] = max(0, n)
	}
	return w
}

// Announcement returns the field that a process sends to say that it takes part while there
// is no work to report. An empty field would not be distinguishable from an earlier build.
func Announcement() []int { return []int{0} }

// Backlog sums up the waiting tasks of an owner, in core-microseconds.
type Backlog [Buckets]int

// Add adds a task: its CPU in thousandths of a core and its estimated run time.
func (b *Backlog) Add(bucket, cpu, estimateMS int) { b[bucket] += cpu * estimateMS }

// PerGate returns the share of each of the given number of gates. Amounts are rounded up,
// so that a little work is not reported as none.
func (b *Backlog) PerGate(gates int) Work {
	unit := 1000 * max(1, gates)
	var w Work
	for i, n := range b {
		w[i] = (n + unit - 1) / unit
	}
	return w
}
