// Package observe holds what operators watch: logs, metrics, traces and the
// operators' port.
package observe

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// LogFormat is the form of log lines.
type LogFormat string

// The forms of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger that writes lines to w. Each part of the system
// takes its own prefix with WithName.
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
