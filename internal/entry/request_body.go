package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// readBody reads the body of a model request. The size and the read time are limited.
// It reserves the memory of the body and of the one that is sent to the engine: what is
// parsed refers to the body, but a rewritten body is a copy. Any error other than an
// exceeded limit is reported as an incomplete body.
func (a *callerAPI) readBody(w http.ResponseWriter, r *http.Request, memory *clientMemory) ([]byte, *caller.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(a.limits.BodyTimeout))
	limit := int64(a.limits.BodyBytes)
	var body []byte
	var err error
	if r.ContentLength <= limit {
		// What is known in advance is reserved before the body is read, so that requests
		// don't wait for one another half-way.
		err = memory.reserve(r.ContentLength)
	}
	if err == nil {
		body, err = memory.readBody(w, r, limit)
	}
	if err == nil && r.ContentLength < 0 {
		err = memory.reserve(int64(len(body)))
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline stays set: net/http would otherwise wait for the rest of the
	// body before it closes the connection.
	w.Header().Set("Connection", "close")
	return nil, bodyError(err)
}

// readBody reads a body of up to limit bytes and reserves its memory. The error is a
// *http.MaxBytesError for a larger one.
func (m *clientMemory) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body, reserved, err := m.limiter.ReadRequest(m.ctx, http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	m.held += reserved
	return body, err
}

// bodyError returns the error for a request body that can't be read.
func bodyError(err error) *caller.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &caller.Error{
			Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Run: caller.NotRun,
			Message: "the request body exceeds the size limit; send a smaller one",
		}
	case errors.Is(err, connlimit.ErrNoMemory):
		return noMemory()
	}
	return &caller.Error{
		Status: http.StatusRequestTimeout, Code: "body-incomplete", Run: caller.NotRun,
		Message: "the request body was not received completely within the time limit; send it again",
	}
}
