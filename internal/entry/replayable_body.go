package entry

import (
	"io"
	"sync"
)

// replayableBody buffers the start of a request body up to a limit, so that the
// body can be replayed for a retry. It is safe for concurrent use, because a
// transport may continue to read after its round trip failed.
type replayableBody struct {
	source io.Reader
	limit  int

	mu sync.Mutex
	// buffered is the buffered start of the body.
	buffered []byte
	// overflowed is true once more than limit bytes were read.
	overflowed bool
	// reading is true while a reader reads from source.
	reading bool
	// reader is the reader of the current attempt.
	reader *bodyReader
}

// bodyReader reads a replayableBody from its start, for one attempt. Once newReader
// has returned a later reader, Read returns io.ErrClosedPipe.
type bodyReader struct {
	body   *replayableBody
	offset int
}

func newReplayableBody(source io.Reader, limit int) *replayableBody {
	return &replayableBody{source: source, limit: limit}
}

// newReader returns a reader for the next attempt and invalidates the previous
// one. It returns false if the body can't be replayed from its start: it exceeds
// the limit, or the previous reader is still reading from the source.
func (b *replayableBody) newReader() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflowed || b.reading {
		return nil, false
	}
	b.reader = &bodyReader{body: b}
	return b.reader, true
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	if b.reader != r {
		b.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	if r.offset < len(b.buffered) {
		n := copy(p, b.buffered[r.offset:])
		r.offset += n
		b.mu.Unlock()
		return n, nil
	}
	b.reading = true
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.buffer(p[:n])
	r.offset += n
	return n, err
}

// buffer buffers bytes that were read from the source, or discards the buffer if
// the limit is exceeded. It ends the read that set reading.
func (b *replayableBody) buffer(read []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	if len(b.buffered)+len(read) > b.limit {
		b.overflowed = true
		b.buffered = nil
	}
	if !b.overflowed {
		b.buffered = append(b.buffered, read...)
	}
}
