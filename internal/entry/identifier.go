package entry

import (
	"crypto/rand"
	"encoding/hex"
)

// identifierBytes makes identifiers that can't be guessed.
const identifierBytes = 16

// newIdentifier returns an unguessable identifier.
func newIdentifier() string {
	var b [identifierBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
