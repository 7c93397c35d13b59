package main

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// entry is a line of the list, TEST: "CHECK": DESCRIPTION. It covers failures of one check of a
// test: those whose message contains the check's text.
type entry struct {
	test, check string
	text        string
}

var entryPattern = regexp.MustCompile(`^([^:" ]+): "([^"]+)": .+$`)

// parseEntries parses the list, which has an entry a line.
func parseEntries(text string) ([]entry, error) {
	var entries []entry
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		m := entryPattern.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf(`entry %.60q: want TEST: "CHECK": DESCRIPTION`, line)
		}
		entries = append(entries, entry{test: m[1], check: m[2], text: line})
	}
	return entries, nil
}

// checkMark precedes the message of each check that a test reports through a checkedTB of package
// test. Other failures can't be told from log lines.
const checkMark = "check failed: "

// failure is a failed test with the messages of its failed checks.
type failure struct {
	test   string
	checks []string
}

var (
	// unlistable matches failures that no list covers.
	unlistable = regexp.MustCompile(`(?m)^panic:|DATA RACE|\[(build|setup) failed\]|test timed out`)
	// resultPattern matches the line that precedes a test's messages.
	resultPattern = regexp.MustCompile(`^ *--- (FAIL|PASS|SKIP): (\S+)`)
	// packagePattern matches the line that ends the output of a package.
	packagePattern = regexp.MustCompile(`^(FAIL|ok)\s+\S+`)
)

// parseFailures returns the failed tests in the output of go test without -v. A test is left out
// if a subtest of it has failed.
func parseFailures(output string) []failure {
	var failures []failure
	current := -1
	for line := range strings.Lines(output) {
		if packagePattern.MatchString(line) {
			current = -1
			continue
		}
		if m := resultPattern.FindStringSubmatch(line); m != nil {
			current = -1
			if m[1] == "FAIL" {
				failures = append(failures, failure{test: m[2]})
				current = len(failures) - 1
			}
			continue
		}
		if _, message, ok := strings.Cut(line, checkMark); ok && current >= 0 {
			failures[current].checks = append(failures[current].checks, strings.TrimSpace(message))
		}
	}
	return slices.DeleteFunc(failures, func(f failure) bool {
		return slices.ContainsFunc(failures, func(other failure) bool { return strings.HasPrefix(other.test, f.test+"/") })
	})
}

// cover returns the entries that cover the failures in the output. It returns an error if a
// failure is not covered, or if there is none that could be.
func cover(entries []entry, output string) ([]entry, error) {
	if found := unlistable.FindString(output); found != "" {
		return nil, fmt.Errorf("not coverable by a known failure: %s", strings.TrimSpace(found))
	}
	failures := parseFailures(output)
	if len(failures) == 0 {
		return nil, errors.New("no test is named as failed")
	}
	var covered []entry
	for _, f := range failures {
		if len(f.checks) == 0 {
			return nil, fmt.Errorf("%s failed without naming a check", f.test)
		}
		for _, check := range f.checks {
			i := slices.IndexFunc(entries, func(e entry) bool { return e.test == f.test && strings.Contains(check, e.check) })
			if i < 0 {
				return nil, fmt.Errorf("not known as red: %s: %s", f.test, check)
			}
			if !slices.Contains(covered, entries[i]) {
				covered = append(covered, entries[i])
			}
		}
	}
	return covered, nil
}
