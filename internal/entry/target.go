package entry

import (
	"net/http"

	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

// target is the destination of one attempt of a model request: a replica group
// of the entry's own zone, or an entry of another zone.
type target struct {
	address string
	// pathPrefix is prepended to the API path.
	pathPrefix string
	header     http.Header
	generation uint64
	// group is the group's name, or the address of an entry of another zone.
	group string
	// reservation is the reserved credit; nil for an entry of another zone.
	reservation *permit.Reservation
}

// onAbort sets the function that is called when the attempt must continue on
// another target: the permit was revoked or replaced by one of a newer
// generation, or it expired while the group was cold.
func (t target) onAbort(f func()) {
	if t.reservation != nil {
		t.reservation.OnAbort(f)
	}
}

// release returns the reserved credit, if there is one.
func (t target) release() {
	if t.reservation != nil {
		t.reservation.Release()
	}
}
