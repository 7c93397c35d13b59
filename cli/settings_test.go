package cli

import (
	"bytes"
	"os"
	"testing"
)

// docs/SETTINGS.md must match the output of rackspur settings.
func TestSettingsPage(t *testing.T) {
	var want bytes.Buffer
	writeSettings(&want)
	got, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Error("docs/SETTINGS.md is not what 'rackspur settings' prints")
	}
}

// Every invalid setting must be named, and the exit code must be ExitUsage.
func TestWrongSettingsEndWithUsage(t *testing.T) {
	var out, errOut bytes.Buffer
	code := Main([]string{"agent", "--slots", "many", "--listen", "here", "--target-url", "x"}, nil, &out, &errOut)
	if code != ExitUsage {
		t.Errorf("exit %d", code)
	}
	for _, name := range []string{"slots=", "listen=", "target-url=", "target=", "domain=", "platform="} {
		if !bytes.Contains(errOut.Bytes(), []byte(name)) {
			t.Errorf("%s is not reported in: %s", name, errOut.String())
		}
	}
}
