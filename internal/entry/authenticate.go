package entry

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// authenticate returns the organisation that the request's bearer key belongs
// to. It compares the key with every stored hash in constant time, so that
// response times leak nothing about keys.
func authenticate(state *config.State, r *http.Request) (operator.Organisation, *caller.Error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return operator.Organisation{}, unauthorised("the bearer key is missing; send the header Authorization: Bearer KEY")
	}
	given := []byte(operator.HashKey(key))
	var match *operator.Organisation
	for _, o := range state.Organisations() {
		for _, hash := range o.KeyHashes {
			if subtle.ConstantTimeCompare(given, []byte(hash)) == 1 {
				match = &o
			}
		}
	}
	if match == nil {
		return operator.Organisation{}, unauthorised("the bearer key belongs to no organisation")
	}
	return *match, nil
}

// unauthorised returns a 401 error.
func unauthorised(message string) *caller.Error {
	return &caller.Error{
		Status: http.StatusUnauthorized, Code: "invalid-key", Message: message, Run: caller.NotRun,
	}
}
