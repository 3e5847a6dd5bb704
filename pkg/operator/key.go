package operator

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the hash under which an organisation's bearer key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
