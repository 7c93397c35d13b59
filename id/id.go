// Package id creates and parses submission ids.
//
// An id contains its home, the address and incarnation of the agent responsible for
// it, the number of the block that it was created from, a nonce, and a tag that
// authenticates it for a member. Callers treat ids as opaque.
package id

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Sizes of the parts of an id and of its text form, in bytes.
const (
	// IncarnationSize is the size of an Incarnation.
	IncarnationSize = 8
	// KeySize is the size of secrets and block keys.
	KeySize    = 16
	randomSize = 9
	tagSize    = 8
	blockSize  = 4
	maxText    = 128
)

// format is the version of the encoding and the first byte of every id.
const format = 1

// ErrMalformed is returned for a text that is not an id.
var ErrMalformed = eris.New("id: malformed")

// Incarnation is a random number that identifies one run of an agent.
type Incarnation [IncarnationSize]byte

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	var n Incarnation
	fillRandom(n[:])
	return n
}

// IncarnationOf returns the incarnation in b. It returns false if b has the wrong
// size.
func IncarnationOf(b []byte) (Incarnation, bool) {
	if len(b) != IncarnationSize {
		return Incarnation{}, false
	}
	return Incarnation(b), true
}

// String returns the incarnation in base64.
func (n Incarnation) String() string {
	return base64.RawURLEncoding.EncodeToString(n[:])
}

// Secret is the key of a home, from which the keys of its blocks are derived.
type Secret [KeySize]byte

// NewSecret returns a random secret.
func NewSecret() Secret {
	var s Secret
	fillRandom(s[:])
	return s
}

// BlockKey returns the key of the block with the given number.
func (s Secret) BlockKey(block uint32) [KeySize]byte {
	mac := hmac.New(sha256.New, s[:])
	var number [blockSize]byte
	binary.BigEndian.PutUint32(number[:], block)
	mac.Write(number[:])
	return [KeySize]byte(mac.Sum(nil)[:KeySize])
}

// Nonce is the random part of an id, unique within its block.
type Nonce [randomSize]byte

// NewNonce returns a random nonce.
func NewNonce() Nonce {
	var n Nonce
	fillRandom(n[:])
	return n
}

// ID is a parsed submission id.
type ID struct {
	// Home is the address of the agent responsible for the id.
	Home netip.AddrPort
	// Incarnation is the incarnation of that agent.
	Incarnation Incarnation
	// Block is the number of the block that the id was created from.
	Block uint32
	// Nonce distinguishes the ids of a block.
	Nonce Nonce
	tag   [tagSize]byte
}

// Mint returns a new id for a member from a block with the given key.
func Mint(home netip.AddrPort, n Incarnation, block uint32, key []byte, member string) ID {
	v := ID{Home: home, Incarnation: n, Block: block, Nonce: NewNonce()}
	v.tag = v.sign(key, member)
	return v
}

// Verify reports whether the id was created for the member by the home with the
// secret.
func (v ID) Verify(s Secret, member string) bool {
	key := s.BlockKey(v.Block)
	want := v.sign(key[:], member)
	return hmac.Equal(want[:], v.tag[:])
}

func (v ID) sign(key []byte, member string) [tagSize]byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(v.Nonce[:])
	mac.Write([]byte(member))
	return [tagSize]byte(mac.Sum(nil)[:tagSize])
}

// Key returns the part of the id that is unique within its home.
func (v ID) Key() string {
	b := binary.BigEndian.AppendUint32(nil, v.Block)
	return string(append(b, v.Nonce[:]...))
}

// String returns the text form of the id.
func (v ID) String() string {
	addr, _ := v.Home.MarshalBinary()
	b := make([]byte, 0, maxText)
	b = append(b, format, byte(len(addr)))
	b = append(b, addr...)
	b = append(b, v.Incarnation[:]...)
	b = binary.BigEndian.AppendUint32(b, v.Block)
	b = append(b, v.Nonce[:]...)
	b = append(b, v.tag[:]...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Parse parses the text form of an id. It returns ErrMalformed for any other text.
func Parse(text string) (ID, error) {
	if len(text) > maxText {
		return ID{}, ErrMalformed
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < 2 || b[0] != format {
		return ID{}, ErrMalformed
	}
	size := int(b[1])
	b = b[2:]
	if len(b) != size+IncarnationSize+blockSize+randomSize+tagSize {
		return ID{}, ErrMalformed
	}
	var v ID
	if err := v.Home.UnmarshalBinary(b[:size]); err != nil || !v.Home.IsValid() {
		return ID{}, ErrMalformed
	}
	b = b[size:]
	v.Incarnation = Incarnation(b[:IncarnationSize])
	b = b[IncarnationSize:]
	v.Block = binary.BigEndian.Uint32(b)
	b = b[blockSize:]
	v.Nonce = Nonce(b[:randomSize])
	v.tag = [tagSize]byte(b[randomSize:])
	if v.String() != text {
		return ID{}, ErrMalformed
	}
	return v, nil
}

// fillRandom fills b with random bytes. rand.Read crashes the program on failure and
// never returns an error.
func fillRandom(b []byte) {
	_, _ = rand.Read(b)
}
