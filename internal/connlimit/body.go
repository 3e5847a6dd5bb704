package connlimit

import (
	"context"
	"io"
	"slices"
)

const (
	// freeBodyBytes is the size of a body that connBytes covers.
	freeBodyBytes = 4 << 10
	// firstBodyBytes is how much of a body must have arrived before memory is
	// allocated for all of it.
	firstBodyBytes = 64 << 10
)

// ReadRequest reads the body of a request to its end, whose length is negative if it is
// not known in advance. It charges the body to the request's connection before it reads
// it; the caller must release the returned number of bytes, also after an error. While
// it waits for the client, the connection may be closed to make room for others.
func (l *Limiter) ReadRequest(ctx context.Context, body io.Reader, length int64) (content []byte, reserved int64, err error) {
	if c := connOf(ctx); c != nil {
		l.setPhase(c, readingBody)
		defer l.setPhase(c, working)
	}
	return l.read(ctx, body, length)
}

// ReadResponse reads the body of a response for the client of the context, as
// ReadRequest does. Nothing waits for the client meanwhile.
func (l *Limiter) ReadResponse(ctx context.Context, body io.Reader, length int64) (content []byte, reserved int64, err error) {
	return l.read(ctx, body, length)
}

func (l *Limiter) read(ctx context.Context, body io.Reader, length int64) (content []byte, reserved int64, err error) {
	reserve := func(size int64) error {
		if size <= max(reserved, freeBodyBytes)+1 {
			return nil
		}
		if err := l.Reserve(ctx, size-reserved); err != nil {
			return err
		}
		reserved = size
		return nil
	}
	// A body of known length is charged as a whole, so that requests do not wait for
	// one another's memory half-way.
	if err := reserve(length); err != nil {
		return nil, reserved, err
	}
	// A body of unknown length is read in parts that double what there is, and are joined
	// at its end. One buffer that grows in the same way would be in memory twice while it
	// is copied, also for clients that never send the end.
	var parts [][]byte
	size := int64(freeBodyBytes)
	if length >= 0 {
		size = min(length+1, firstBodyBytes) // with room for the reader to report the end
	}
	content = make([]byte, 0, size)
	for {
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF && parts != nil {
			return slices.Concat(append(parts, content)...), reserved, nil
		}
		if err == io.EOF {
			return content, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
		if len(content) < cap(content) {
			continue
		}
		if length >= int64(len(content)) {
			size = length + 1
			content = append(make([]byte, 0, size), content...)
			continue
		}
		size *= 2
		if err := reserve(size); err != nil {
			return nil, reserved, err
		}
		parts = append(parts, content)
		content = make([]byte, 0, size/2)
	}
}
