package cli

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
)

// hangUpVariable makes the test binary play a role that is sent SIGHUP.
const hangUpVariable = "RACKSPUR_TEST_HANG_UP"

// A role on the platform lives through SIGHUP also before it reads its settings.
// The test runs itself as a process of its own, which the signal ends otherwise.
func TestHangUpBeforeSettings(t *testing.T) {
	if os.Getenv(hangUpVariable) != "" {
		surviveHangUp([]string{commandPlatform, roleEntry})
		hangUpSelf(t)
		return
	}
	// A process whose parent ignores the signal would live in any case.
	signal.Reset(syscall.SIGHUP)
	cmd := exec.Command(os.Args[0], "-test.run=^TestHangUpBeforeSettings$")
	cmd.Env = append(os.Environ(), hangUpVariable+"=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}

// hangUpSelf sends the signal to this process twice and waits for the second.
func hangUpSelf(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	seen := make(chan os.Signal, 1)
	signal.Notify(seen, syscall.SIGHUP)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-seen
}
