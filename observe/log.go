// Package observe provides logging, metrics, tracing and the operators' HTTP port.
package observe

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// LogFormat is the format of log lines.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger that writes lines to w. It is safe for concurrent use.
func NewLogger(w io.Writer, f LogFormat, verbosity int) logr.Logger {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(w, line+"\n")
	}
	opts := funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano, Verbosity: verbosity}
	if f == LogJSON {
		return funcr.NewJSON(write, opts)
	}
	text := func(prefix, args string) {
		write(strings.TrimSpace(prefix + ": " + args))
	}
	return funcr.New(text, opts)
}
