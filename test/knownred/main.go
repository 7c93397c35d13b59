// Knownred decides whether all failures in the output of go test are listed in KNOWN-RED.txt.
//
//	go run ./test/knownred -list KNOWN-RED.txt OUTPUT
//
// It prints the listed failures and exits with status 0, or prints the first other failure and
// exits with status 1.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "list of known failures")
	flag.Parse()
	if err := run(*list, flag.Arg(0)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(list, output string) error {
	listText, err := os.ReadFile(list)
	if err != nil {
		return err
	}
	outputText, err := os.ReadFile(output)
	if err != nil {
		return err
	}
	entries, err := parseEntries(string(listText))
	if err != nil {
		return fmt.Errorf("%s: %w", list, err)
	}
	covered, err := cover(entries, string(outputText))
	if err != nil {
		return err
	}
	fmt.Println("Failed, and known as red:")
	for _, e := range covered {
		fmt.Println(e.text)
	}
	return nil
}
