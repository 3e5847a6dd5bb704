package organisation

import (
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// hashKeys returns the hashes of the keys in the files and the hashes given
// as such. Keys come from files, since command lines can be read by others.
func hashKeys(files, hashes []string) ([]string, error) {
	all := append([]string(nil), hashes...)
	for _, file := range files {
		key, err := settings.ReadSecret(file)
		if err != nil {
			return nil, err
		}
		all = append(all, operator.HashKey(key))
	}
	if len(all) == 0 {
		return nil, errors.New("no key; set --caller-key-file or --key-hash")
	}
	return all, nil
}
