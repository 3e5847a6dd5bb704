package entry

import (
	"crypto/rand"
	"encoding/hex"
)

// identifierBytes is the length of an identifier before encoding: 128 bits can't
// be guessed.
const identifierBytes = 16

// newIdentifier returns a random identifier in hexadecimal.
func newIdentifier() string {
	var b [identifierBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
