package config

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"

	"rackspur/wire"
)

// documentCase is a test case of testdata/documents.yaml.
type documentCase struct {
	Case     int    `yaml:"case"`
	Document string `yaml:"document"`
	Error    string `yaml:"error"`
}

func documentCases(t testing.TB) []documentCase {
	t.Helper()
	text, err := os.ReadFile("testdata/documents.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []documentCase
	if err := yaml.Unmarshal([]byte(strings.ReplaceAll(string(text), "HASH", "'"+HashSecret("s")+"'")), &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

func TestParse(t *testing.T) {
	for _, tc := range documentCases(t) {
		t.Run(strconv.Itoa(tc.Case), func(t *testing.T) {
			d, err := Parse([]byte(tc.Document))
			if tc.Error != "" {
				if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), tc.Error) {
					t.Errorf("got %v, want %q", err, tc.Error)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			again, err := Decode(d.Encode())
			if err != nil || string(again.Encode()) != string(d.Encode()) {
				t.Errorf("canonical form does not round-trip: %v", err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, tc := range documentCases(f) {
		f.Add([]byte(tc.Document))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err != nil {
			return
		}
		if _, err := Decode(d.Encode()); err != nil {
			t.Errorf("valid document does not round-trip: %v", err)
		}
	})
}

func TestHolderNeverReverts(t *testing.T) {
	good, err := Parse([]byte(documentCases(t)[0].Document))
	if err != nil {
		t.Fatal(err)
	}
	h := NewHolder()
	var seen []uint64
	h.OnChange(func(a *Accepted) { seen = append(seen, a.Version) })
	for _, v := range []uint64{3, 1, 3, 5, 4} {
		if err := h.Offer(&wire.Config{Version: v, Document: good.Encode()}); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.Offer(&wire.Config{Version: 9, Document: []byte("{}")}); !errors.Is(err, ErrInvalid) {
		t.Errorf("got %v, want ErrInvalid", err)
	}
	if h.Version() != 5 || len(seen) != 2 {
		t.Errorf("version %d, seen %v", h.Version(), seen)
	}
	if h.UpdateFor(5) != nil || h.UpdateFor(4).GetVersion() != 5 {
		t.Error("For attaches the configuration for a peer that is up to date, or omits it for one that is behind")
	}
}

func TestMatchSecret(t *testing.T) {
	hash := HashSecret("right")
	if !MatchSecret(hash, "right") || MatchSecret(hash, "wrong") || MatchSecret("x", "right") || MatchSecret("", "") {
		t.Error("MatchSecret accepts a wrong secret or rejects the right one")
	}
}
