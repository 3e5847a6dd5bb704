package entry

import (
	"net/http"

	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

// target is the destination of one attempt of a model request: a replica group
// of the entry's own zone, or an entry of another zone.
type target struct {
	// address is the address of the group's leader, or the base URL of an entry of
	// another zone.
	address string
	// pathPrefix is prepended to the API path.
	pathPrefix string
	// header holds the headers to add to the request.
	header http.Header
	// generation is the group's generation; 0 for an entry of another zone.
	generation uint64
	// group is the group's name, or the address of an entry of another zone.
	group string
	// reservation is the reserved credit; nil for an entry of another zone.
	reservation *permit.Reservation
}

// onAbort sets the function that is called when the request must continue on
// another target: the permit was revoked with Abort set, was replaced by one of a
// newer generation, or expired while the group was cold. The function is called
// at once if that has already happened, and never for an entry of another zone.
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
