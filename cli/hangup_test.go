package cli

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
)

// childEnv is set in the environment of the child process of
// TestHangUpBeforeSettings.
const childEnv = "RACKSPUR_TEST_HANG_UP"

// A SIGHUP that arrives before the settings are read must not terminate a role on
// the platform. The signal is sent in a child process.
func TestHangUpBeforeSettings(t *testing.T) {
	if os.Getenv(childEnv) != "" {
		catchHangUp([]string{commandPlatform, roleEntry})
		signalSelf(t)
		return
	}
	// A child that inherits an ignored SIGHUP would survive in any case.
	signal.Reset(syscall.SIGHUP)
	cmd := exec.Command(os.Args[0], "-test.run=^TestHangUpBeforeSettings$")
	cmd.Env = append(os.Environ(), childEnv+"=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}

// signalSelf sends SIGHUP to this process twice and waits for the second signal.
func signalSelf(t *testing.T) {
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
