package test

import (
	"fmt"
	"testing"
)

// checkedTB marks the messages of failed checks, which tell listed failures from others: see
// package knownred.
type checkedTB struct{ testing.TB }

// checkMark precedes the message of a failed check.
const checkMark = "check failed: "

func (t checkedTB) Error(args ...any) {
	t.Helper()
	t.TB.Error(checkMark + fmt.Sprint(args...))
}

func (t checkedTB) Errorf(format string, args ...any) {
	t.Helper()
	t.TB.Error(checkMark + fmt.Sprintf(format, args...))
}

func (t checkedTB) Fatal(args ...any) {
	t.Helper()
	t.TB.Fatal(checkMark + fmt.Sprint(args...))
}

func (t checkedTB) Fatalf(format string, args ...any) {
	t.Helper()
	t.TB.Fatal(checkMark + fmt.Sprintf(format, args...))
}
