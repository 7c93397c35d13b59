package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"
)

// TestCheckNamesEveryFault checks that every invalid setting is reported, not only the first.
func TestCheckNamesEveryFault(t *testing.T) {
	t.Setenv("RACKSPUR_WAIT", "soon")
	fs := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s := NewSet(fs)
	var address, name, url, choice string
	var slots int
	var wait time.Duration
	s.Address(&address, "listen", "127.0.0.1:1", "")
	s.String(&name, "name", "", "").Require()
	s.URL(&url, "platform", "", "").Require()
	s.Choice(&choice, "form", "text", "", "text", "json")
	s.Int(&slots, "slots", 8, "", 1, 10)
	s.Duration(&wait, "wait", time.Second, "", 0, time.Minute)
	if err := fs.Parse([]string{"--listen", "localhost", "--platform", "ftp://x:1", "--form", "xml", "--slots", "11"}); err != nil {
		t.Fatal(err)
	}
	err := s.Check()
	if !errors.Is(err, ErrInvalid) {
		t.Fatalf("got %v", err)
	}
	for _, want := range []string{`listen="localhost" (--listen): want an IP`, `name="" (default)`, `platform="ftp://x:1"`,
		`form="xml" (--form): want one of text, json`, `slots="11" (--slots): want a whole number from 1 to 10`, `wait="soon" (RACKSPUR_WAIT)`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not named in:\n%v", want, err)
		}
	}
}

func TestFlagWinsOverEnvironment(t *testing.T) {
	t.Setenv("RACKSPUR_SLOTS", "3")
	fs := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s := NewSet(fs)
	var slots, other int
	s.Int(&slots, "slots", 8, "", 1, 10)
	s.Int(&other, "other", 5, "", 1, 10)
	if err := s.Check(); err != nil || slots != 3 || other != 5 {
		t.Errorf("%v, slots %d, other %d", err, slots, other)
	}
	if err := fs.Parse([]string{"--slots", "4"}); err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err != nil || slots != 4 {
		t.Errorf("%v, slots %d", err, slots)
	}
}
