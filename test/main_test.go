// Package test holds the integration tests: they run real processes behind proxies that
// inject faults, and check the targets' start logs and the answers that callers got.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	if value := os.Getenv(targetVariable); value != "" {
		os.Exit(serveTarget(value == targetInherits))
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rackspur-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "rackspur")
	args := []string{"build", "-o", binary}
	if raceFlag != "" {
		args = append(args, raceFlag)
	}
	build := exec.Command("go", append(args, "rackspur/cmd/rackspur")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
