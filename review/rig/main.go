// Command rig runs the cases of the second review that are scripts. It starts the programs of the
// deploy file as processes on loopback addresses, with stand-ins for the platform's store, the
// executors and the clients, and records what they saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// caseOf is a case: it reports whether the rule held. trouble says whether the disruption comes.
type caseOf func(r *record, trouble bool) (held bool, err error)

var cases = map[string]caseOf{}

func main() {
	name := flag.String("case", "", "the case to run")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *path))
}

func run(name, path string) int {
	c := cases[name]
	if c == nil {
		fmt.Println("no such case:", name)
		return exitCannotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return exitCannotRun
	}
	defer r.close()
	go serveLaunches()
	// Processes end with this one; see deployment.start.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		os.Exit(exitCannotRun)
	}()
	held, err := c(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("end    the case could not run: %v", err)
		return exitCannotRun
	case held:
		r.say("end    the rule held")
		return exitHeld
	}
	r.say("end    the rule was broken")
	return exitBroken
}
