package settings

import (
	"bytes"
	"os"

	"github.com/pkg/errors"
)

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

// ReadSecret returns the content of a key file without surrounding white space. The
// secret must have at least 16 bytes. Errors never contain the secret.
func ReadSecret(file string) (string, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read the key file")
	}
	secret := bytes.TrimSpace(content)
	if len(secret) < minSecretBytes {
		return "", errors.Errorf("%s: the key is shorter than %d bytes; write a longer one", file, minSecretBytes)
	}
	return string(secret), nil
}
