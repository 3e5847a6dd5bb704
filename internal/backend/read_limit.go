package backend

import (
	"io"

	"github.com/pkg/errors"
)

// errTooLong is returned by a readLimit whose limit is reached.
var errTooLong = errors.New("too many bytes before the response's body")

// readLimit is a reader whose limit can be set and cleared.
type readLimit struct {
	r io.Reader
	// left is the number of bytes until the limit, if limited is set.
	left    int
	limited bool
}

func (l *readLimit) set(n int) { l.left, l.limited = n, true }

func (l *readLimit) clear() { l.limited = false }

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
