package main

import (
	"os"
	"strings"
	"testing"
)

const list = `TestSoak/1: "has started no run": seldom; issue 1
TestSoak/1: "whose end was noted": seldom; issue 2
`

// Guards against a listed test whose failure by another check, or without one, is passed over.
func TestCover(t *testing.T) {
	const failed = "--- FAIL: TestSoak (1.2s)\n    --- FAIL: TestSoak/1 (1.2s)\n        soak_test.go:9: seed 1\n"
	const noted = "        soak_check_test.go:7: check failed: ab started after a run whose end was noted: {}\n"
	const idle = "        soak_check_test.go:8: check failed: the target of agent-1 has started no run 10s after\n"
	tests := []struct {
		name, output string
		entries      int
		// want is part of the error, or empty.
		want string
	}{
		{"one check", failed + noted + "FAIL\nFAIL\trackspur/test\t2s\n", 1, ""},
		{"both checks", failed + noted + idle + noted, 2, ""},
		{"another check", failed + noted + "        x_test.go:1: check failed: job 5 was refused but ran\n", 0, "refused but ran"},
		{"no check", failed, 0, "without naming a check"},
		{"check of another package's test", failed + "FAIL\nFAIL\ta\t2s\n" + noted, 0, "without naming a check"},
		{"another seed", strings.ReplaceAll(failed, "/1", "/2") + noted, 0, "not known as red: TestSoak/2"},
		{"another test beside it", failed + noted + "--- FAIL: TestFront (0.1s)\n    front_test.go:3: status 500\n", 0, "TestFront"},
		{"panic", failed + noted + "panic: nil map\n", 0, "panic"},
		{"data race", failed + noted + "WARNING: DATA RACE\n", 0, "DATA RACE"},
		{"no test named", "FAIL\trackspur/test\t2s\n", 0, "no test"},
	}
	entries, err := parseEntries(list)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			covered, err := cover(entries, test.output)
			if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Errorf("error %v, want one with %q", err, test.want)
			}
			if len(covered) != test.entries {
				t.Errorf("covered by %v, want %d entries", covered, test.entries)
			}
		})
	}
}

func TestParseEntries(t *testing.T) {
	for _, line := range []string{"TestSoak/1: seldom red", `TestSoak/1: "": seldom`, `TestSoak/1: "check"`} {
		if entries, err := parseEntries(line); err == nil {
			t.Errorf("%q is parsed as %v, want an error", line, entries)
		}
	}
}

// Guards against an entry that can't be read: CI would fail with any listed failure.
func TestListInRepository(t *testing.T) {
	text, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parseEntries(string(text)); err != nil {
		t.Error(err)
	}
}
