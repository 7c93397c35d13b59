package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken is returned if the rule was broken.
var errBroken = errors.New("the rule was broken")

// scripts are the cases by name.
var scripts = map[string]func(record *os.File, trouble bool) error{
	"row":     playRow,
	"calls":   playCalls,
	"memory":  playMemory,
	"suspect": playSuspect,
	"open":    playOpen,
}

// current is the deployment, whose processes end with the script.
var current atomic.Pointer[world]

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(scripts[os.Args[1]], os.Args[2]))
}

func play(script func(*os.File, bool) error, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		if w := current.Load(); w != nil {
			w.close()
		}
		os.Exit(exitCannotRun)
	}()
	// The store keeps every value in memory.
	debug.SetGCPercent(25)
	err = script(record, os.Getenv("TROUBLE") != "0")
	code, verdict := exitCannotRun, fmt.Sprintf("can't run: %v", err)
	switch {
	case err == nil:
		code, verdict = exitHeld, "held"
	case errors.Is(err, errBroken):
		code, verdict = exitBroken, err.Error()
	}
	fmt.Fprintln(record, "verdict:", verdict)
	fmt.Println(verdict)
	return code
}
