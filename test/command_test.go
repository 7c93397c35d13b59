package test

import (
	"bytes"
	"errors"
	"os/exec"
	"strings"
	"testing"
)

// ran is what a command printed and how it ended.
type ran struct {
	out, errOut string
	code        int
}

// command runs the program to its end.
func command(t testing.TB, in string, args ...string) ran {
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
	return ran{out: out.String(), errOut: errOut.String(), code: cmd.ProcessState.ExitCode()}
}
