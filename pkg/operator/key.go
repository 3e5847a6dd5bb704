package operator

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the SHA-256 hash of a bearer key in hexadecimal, the form in
// which organisations' keys are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
