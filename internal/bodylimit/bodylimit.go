// Package bodylimit bounds the bodies of HTTP responses, for clients that decode them in
// memory.
package bodylimit

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned by Read of a response's body that is longer than its limit.
var ErrTooLarge = errors.New("the response is too large")

// Transport is a RoundTripper whose responses have bodies of at most MaxBytes bytes. The
// body of a response that switches protocols has no limit.
type Transport struct {
	Next     http.RoundTripper
	MaxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(r)
	if err != nil || response.StatusCode == http.StatusSwitchingProtocols {
		return response, err
	}
	response.Body = &body{ReadCloser: response.Body, left: t.MaxBytes}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Next, if it has any.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

type body struct {
	io.ReadCloser
	left int64
}

func (b *body) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrTooLarge
	}
	// One byte more than the limit tells a longer body from one that ends there.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n - 1, ErrTooLarge
	}
	return n, err
}
