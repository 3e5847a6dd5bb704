package entry

import (
	"io"
	"sync"
)

// replayableBody keeps the start of a body, so that one which has not been
// read beyond that can be sent again. It is safe for concurrent use, since a
// transport may go on reading after its round trip failed.
type replayableBody struct {
	source io.Reader
	limit  int

	mu      sync.Mutex
	kept    []byte
	lost    bool
	reading bool
	reader  *bodyReader
}

// bodyReader reads a replayableBody for one try.
type bodyReader struct {
	body     *replayableBody
	position int
}

func newReplayableBody(source io.Reader, limit int) *replayableBody {
	return &replayableBody{source: source, limit: limit}
}

// start returns the body's reader for another try and ends the one before. It
// returns false when the body can't be read again from its start.
func (b *replayableBody) start() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost || b.reading {
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
	if r.position < len(b.kept) {
		n := copy(p, b.kept[r.position:])
		r.position += n
		b.mu.Unlock()
		return n, nil
	}
	b.reading = true
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.keep(p[:n])
	r.position += n
	return n, err
}

func (b *replayableBody) keep(read []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	if len(b.kept)+len(read) > b.limit {
		b.lost = true
		b.kept = nil
	}
	if !b.lost {
		b.kept = append(b.kept, read...)
	}
}
