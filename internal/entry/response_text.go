package entry

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

const (
	// textStep is how much memory is reserved at a time for the text of a response.
	textStep = 16 << 10
	// textCopies is how many times an entry holds the text of a response at most: in a
	// buffer that grows by doubling, and in an encoded response that grows in the same
	// way and waits for its reader.
	textCopies = 4
)

// reserveText reserves memory for more delivered text, which is kept until the end of
// the response.
func (g *generation) reserveText(more int) error {
	need := textCopies * int64(g.text.Len()+more)
	if need <= freeBytes+g.textReserved {
		return nil
	}
	n := (need - freeBytes - g.textReserved + textStep - 1) / textStep * textStep
	if err := g.memory.reserve(n); errors.Is(err, connlimit.ErrNoMemory) {
		return err
	} else if err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	g.textReserved += n
	return nil
}

// noTextMemory returns the error for a response whose text finds no memory.
func (g *generation) noTextMemory() *caller.Error {
	return &caller.Error{
		Status: http.StatusServiceUnavailable, Code: "no-memory", Run: g.runState, RetryAfter: retryAfter,
		Message: "the entry has no memory for the rest of the response now; send the request again later",
	}
}
