package test

import (
	"bytes"
	"errors"
	"os/exec"
	"strings"
	"testing"
)

// commandResult is what a command printed and how it ended.
type commandResult struct {
	out, errOut string
	code        int
}

// command runs the program with the arguments and in as its standard input, and waits
// for it to exit.
func command(t testing.TB, in string, args ...string) commandResult {
	t.Helper()
	cmd := exec.Command(binary, args...)
	var out, errOut bytes.Buffer
	cmd.Stdin = strings.NewReader(in)
	cmd.Stdout = &out
	cmd.Stderr = &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return commandResult{out: out.String(), errOut: errOut.String(), code: cmd.ProcessState.ExitCode()}
}
