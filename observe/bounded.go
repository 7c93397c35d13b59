package observe

import (
	"fmt"
	"io"
	"sync/atomic"
)

// boundedLines is how many lines may wait to be written.
const boundedLines = 4096

// BoundedWriter passes lines on to a writer without ever blocking its callers:
// while the writer stands still lines wait, and beyond a bound they are left out
// and counted. The count is written as a line of its own.
type BoundedWriter struct {
	lines chan []byte
	left  atomic.Int64
}

// NewBoundedWriter returns a writer in front of w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, boundedLines)}
	go b.run(w)
	return b
}

// Write implements io.Writer.Write.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.left.Add(1)
	}
	return len(line), nil
}

// LeftOut returns the number of lines left out that no line has told of yet.
func (b *BoundedWriter) LeftOut() int64 { return b.left.Load() }

func (b *BoundedWriter) run(w io.Writer) {
	for line := range b.lines {
		_, _ = w.Write(line)
		if n := b.left.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, "{\"msg\":\"Lines left out.\",\"count\":%d}\n", n)
		}
	}
}
