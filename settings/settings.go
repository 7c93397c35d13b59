// Package settings reads the settings of a role from command-line flags and
// environment variables and validates all of them at startup.
//
// The setting "target-url" is given by the flag --target-url or the environment
// variable RACKSPUR_TARGET_URL; the flag takes precedence.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/pflag"
)

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "RACKSPUR_"

// ErrInvalid is returned if any setting is invalid; its text lists all that are.
var ErrInvalid = eris.New("settings: wrong settings")

// Setting describes one setting.
type Setting struct {
	Name, Default, Usage string
	// Valid describes the valid values.
	Valid string
	// Required says that the setting must not be empty.
	Required bool
	parse    func(text string) error
	raw      *string
}

// Env returns the name of the setting's environment variable.
func (s *Setting) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// Set holds the settings of one role.
type Set struct {
	flags *pflag.FlagSet
	list  []*Setting
}

// NewSet returns an empty set that registers its flags with fs.
func NewSet(fs *pflag.FlagSet) *Set {
	return &Set{flags: fs}
}

// All returns the settings in the order of their definition.
func (s *Set) All() []*Setting {
	return s.list
}

// Check parses every setting and returns an ErrInvalid that lists all invalid ones.
func (s *Set) Check() error {
	var wrong []string
	for _, d := range s.list {
		text, from := s.value(d)
		if text == "" && !d.Required {
			continue
		}
		err := d.parse(text)
		if text == "" {
			err = eris.New("is not set")
		}
		if err != nil {
			wrong = append(wrong, fmt.Sprintf("%s=%q (%s): want %s", d.Name, text, from, d.Valid))
		}
	}
	if len(wrong) == 0 {
		return nil
	}
	return eris.Wrap(ErrInvalid, strings.Join(wrong, "\n  "))
}

func (s *Set) value(d *Setting) (text, from string) {
	if s.flags.Changed(d.Name) {
		return *d.raw, "--" + d.Name
	}
	if env, ok := os.LookupEnv(d.Env()); ok {
		return env, d.Env()
	}
	return *d.raw, "default"
}

func (s *Set) add(name, def, usage, right string, parse func(string) error) *Setting {
	d := &Setting{Name: name, Default: def, Usage: usage, Valid: right, parse: parse}
	d.raw = s.flags.String(name, def, usage)
	s.list = append(s.list, d)
	return d
}

// Require marks the setting as required.
func (s *Setting) Require() *Setting {
	s.Required = true
	return s
}

// String defines a free-text setting.
func (s *Set) String(v *string, name, def, usage string) *Setting {
	return s.add(name, def, usage, "any text", func(text string) error {
		*v = text
		return nil
	})
}

// Choice defines a setting that takes one of the given choices.
func (s *Set) Choice(v *string, name, def, usage string, choices ...string) *Setting {
	return s.add(name, def, usage, "one of "+strings.Join(choices, ", "), func(text string) error {
		for _, c := range choices {
			if text == c {
				*v = text
				return nil
			}
		}
		return eris.New("is none of the choices")
	})
}

// Address defines a setting that takes an IP address and a port.
func (s *Set) Address(v *string, name, def, usage string) *Setting {
	return s.add(name, def, usage, "an IP address and a port, like 127.0.0.1:7000", func(text string) error {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		*v = a.String()
		return nil
	})
}

// URL defines a setting that takes an http or https URL with a port.
func (s *Set) URL(v *string, name, def, usage string) *Setting {
	return s.add(name, def, usage, "a URL, like http://127.0.0.1:7100", func(text string) error {
		u, err := url.Parse(text)
		if err != nil {
			return err
		}
		if u.Scheme != "http" && u.Scheme != "https" {
			return eris.New("has no http or https scheme")
		}
		if _, _, err := net.SplitHostPort(u.Host); err != nil {
			return err
		}
		*v = strings.TrimSuffix(text, "/")
		return nil
	})
}

// Int defines a setting that takes an integer between low and high, inclusive.
func (s *Set) Int(v *int, name string, def int, usage string, low, high int) *Setting {
	right := fmt.Sprintf("a whole number from %d to %d", low, high)
	return s.add(name, strconv.Itoa(def), usage, right, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		if n < low || n > high {
			return eris.New("is out of range")
		}
		*v = n
		return nil
	})
}

// Duration defines a setting that takes a duration between low and high, inclusive.
func (s *Set) Duration(v *time.Duration, name string, def time.Duration, usage string, low, high time.Duration) *Setting {
	right := fmt.Sprintf("a duration from %s to %s", low, high)
	return s.add(name, def.String(), usage, right, func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		if d < low || d > high {
			return eris.New("is out of range")
		}
		*v = d
		return nil
	})
}
