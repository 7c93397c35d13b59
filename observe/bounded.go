package observe

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the capacity of a BoundedWriter.
const maxQueuedLines = 4096

// BoundedWriter queues lines for another writer and never blocks its callers. When the queue
// is full it drops and counts lines; the count is written once the writer makes progress.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBoundedWriter returns a BoundedWriter that writes to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxQueuedLines)}
	go b.run(w)
	return b
}

// Write implements io.Writer.Write.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) run(w io.Writer) {
	for line := range b.lines {
		_, _ = w.Write(line)
		if n := b.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, "{\"msg\":\"Lines left out.\",\"count\":%d}\n", n)
		}
	}
}
