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
	ticket *permit.Reservation
}

// onAbort sets the function that runs when the attempt must move elsewhere.
func (t target) onAbort(f func()) {
	if t.ticket != nil {
		t.ticket.OnAbort(f)
	}
}

func (t target) release() {
	if t.ticket != nil {
		t.ticket.Release()
	}
}
