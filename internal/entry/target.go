package entry

import (
	"net/http"

	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

// target is where one attempt of a model request goes: a replica group of the
// own zone, or an entry of another zone.
type target struct {
	address string
	// pathPrefix goes before the API path.
	pathPrefix string
	header     http.Header
	generation uint64
	group      string
	// ticket is nil for an entry of another zone.
	ticket *permit.Ticket
}

// aborted returns a channel that closes when the attempt must move elsewhere.
func (t target) aborted() <-chan struct{} {
	if t.ticket == nil {
		return nil
	}
	return t.ticket.Aborted
}

func (t target) release() {
	if t.ticket != nil {
		t.ticket.Release()
	}
}
