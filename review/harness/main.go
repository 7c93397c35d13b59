// Command harness plays the cases of the review: it starts the project's programs as processes on
// loopback addresses, with the project's stand-ins of the platform's store and of executors, and
// checks a rule by what clients and executors have seen.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// longest is the longest time that a case may take.
const longest = 110 * time.Second

// scenario plays a case; trouble tells whether with the disruption. It returns how the rule was
// broken, or "" if it held.
type scenario func(log *record, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"ended":   ended,
	"twice":   twice,
	"grey":    greyRack,
	"gone":    goneRack,
	"unasked": unasked,
	"route":   routeBroken,
	"crasher": crasher,
	"returns": returns,
	"chaos":   chaos,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitCannot)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(play scenario, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer log.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case", "trouble %v", trouble)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(log, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			log.add("case", "could not run: %v", r.err)
			return exitCannot
		case r.broken != "":
			log.add("case", "BROKEN: %s", r.broken)
			return exitBroken
		}
		log.add("case", "the rule held")
		return exitHeld
	case <-time.After(longest):
		log.add("case", "could not run: not over after %v", longest)
	case s := <-signals:
		log.add("case", "could not run: %v", s)
	}
	// The processes end with this one.
	return exitCannot
}

// record is the file record.txt, which is also printed.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-6s %s\n", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() { _ = r.file.Close() }

func sortByStart(runs []started) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
}

// newID returns a job's id, 16 hex digits.
func newID(n int) string {
	return fmt.Sprintf("%016s", strconv.FormatInt(0x5c0e7a21d94b36f8+int64(n), 16))
}
