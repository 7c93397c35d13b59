package id

import (
	"errors"
	"net/netip"
	"testing"
)

func mint(member string) (ID, Secret) {
	s := NewSecret()
	key := s.BlockKey(7)
	return Mint(netip.MustParseAddrPort("127.0.0.1:7000"), NewIncarnation(), 7, key[:], member), s
}

func TestRoundTrip(t *testing.T) {
	v, s := mint("ghanta")
	got, err := Parse(v.String())
	if err != nil || got != v {
		t.Fatalf("%v, %v", got, err)
	}
	if !got.Verify(s, "ghanta") || got.Verify(s, "acquirer") || got.Verify(NewSecret(), "ghanta") {
		t.Error("the tag does not authenticate the member and the secret")
	}
}

func FuzzParse(f *testing.F) {
	v, _ := mint("ghanta")
	f.Add(v.String())
	f.Add("")
	f.Add("AQZ_AAAB")
	f.Fuzz(func(t *testing.T, text string) {
		v, err := Parse(text)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("%v", err)
			}
			return
		}
		if v.String() != text {
			t.Errorf("%q is parsed as %q", text, v)
		}
	})
}
