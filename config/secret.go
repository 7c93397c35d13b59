package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// A hashed secret has the form "sha256$salt$digest". NewSecret generates secrets of
// at least 128 random bits, so they need no slow password hash.
const (
	hashScheme = "sha256"
	hashParts  = 3
	saltBytes  = 8
)

// NewSecret returns a new random secret for a member.
func NewSecret() string {
	return rand.Text()
}

// HashSecret returns the salted hash of a secret.
func HashSecret(secret string) string {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	text := hex.EncodeToString(salt)
	return strings.Join([]string{hashScheme, text, digest(text, secret)}, "$")
}

// MatchSecret reports whether the hash is that of the secret. The digests are
// compared in constant time.
func MatchSecret(hash, secret string) bool {
	parts := strings.Split(hash, "$")
	if len(parts) != hashParts {
		return false
	}
	got := digest(parts[1], secret)
	return subtle.ConstantTimeCompare([]byte(got), []byte(parts[2])) == 1
}

func digest(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + "$" + secret))
	return hex.EncodeToString(sum[:])
}

func validHash(hash string) bool {
	parts := strings.Split(hash, "$")
	if len(parts) != hashParts || parts[0] != hashScheme || parts[1] == "" {
		return false
	}
	b, err := hex.DecodeString(parts[2])
	return err == nil && len(b) == sha256.Size
}
