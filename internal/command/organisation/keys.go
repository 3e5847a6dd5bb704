package organisation

import (
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// hashKeys returns the given hashes and the hashes of the keys in the files.
// Keys are read from files because other users of the machine can read command
// lines.
func hashKeys(files, hashes []string) ([]string, error) {
	keyHashes := append([]string(nil), hashes...)
	for _, file := range files {
		key, err := settings.ReadSecret(file)
		if err != nil {
			return nil, err
		}
		keyHashes = append(keyHashes, operator.HashKey(key))
	}
	if len(keyHashes) == 0 {
		return nil, errors.New("no key; set --caller-key-file or --key-hash")
	}
	return keyHashes, nil
}
