package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes limits the size of one event, which is buffered completely.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size of an event for which no memory is reserved.
	freeEventBytes = 4 << 10
)

// RawEvent is one event with its original bytes, including the blank line at
// its end. Its slices are valid until the next Read.
type RawEvent struct {
	Bytes []byte
	// ID is the value of the event's first id field, or empty if there is none.
	ID []byte
	// Comment is set if the event has only comments, as servers send them to keep a
	// connection open.
	Comment bool
}

// RawReader reads complete events and keeps their bytes unchanged.
type RawReader struct {
	buf     *bufio.Reader
	event   []byte
	reserve func(n int64) error
}

// RawOption configures a RawReader.
type RawOption func(*RawReader)

// WithReserve sets the function that is called before the buffer for events grows by n
// bytes, beyond the first few KiB. Read returns its error.
func WithReserve(reserve func(n int64) error) RawOption {
	return func(r *RawReader) { r.reserve = reserve }
}

// NewRawReader returns a RawReader that reads from r.
func NewRawReader(r io.Reader, opts ...RawOption) *RawReader {
	raw := &RawReader{
		buf: bufio.NewReaderSize(r, 8<<10), event: make([]byte, 0, freeEventBytes),
		reserve: func(int64) error { return nil },
	}
	for _, opt := range opts {
		opt(raw)
	}
	return raw
}

// Buffered returns the number of bytes that have arrived but have not been
// read.
func (r *RawReader) Buffered() int { return r.buf.Buffered() }

// Read returns the next complete event. It returns io.EOF at the end of the
// stream, and io.ErrUnexpectedEOF if the stream ends after the start of an event
// or after extra blank lines. A call after a timeout continues with the bytes
// read so far.
func (r *RawReader) Read() (RawEvent, error) {
	for {
		line, err := r.buf.ReadSlice('\n')
		if len(r.event)+len(line) > maxEventBytes {
			return RawEvent{}, errors.New("event is longer than 1 MiB")
		}
		if err := r.append(line); err != nil {
			return RawEvent{}, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return RawEvent{}, io.ErrUnexpectedEOF
		case err != nil:
			return RawEvent{}, err
		}
		if len(bytes.TrimRight(r.event, "\r\n")) == 0 {
			continue // blank lines before an event belong to it
		}
		if bytes.HasSuffix(r.event, []byte("\n\n")) || bytes.HasSuffix(r.event, []byte("\n\r\n")) {
			e := RawEvent{Bytes: r.event, ID: eventID(r.event), Comment: onlyComments(r.event)}
			r.event = r.event[:0]
			return e, nil
		}
	}
}

// append adds a part of a line to the event, and reserves the memory that it needs.
func (r *RawReader) append(part []byte) error {
	if needed := len(r.event) + len(part); needed > cap(r.event) {
		size := min(max(needed, 2*cap(r.event)), maxEventBytes)
		if err := r.reserve(int64(size - cap(r.event))); err != nil {
			return errors.Wrap(err, "reserve memory for an event")
		}
		r.event = append(make([]byte, 0, size), r.event...)
	}
	r.event = append(r.event, part...)
	return nil
}

func onlyComments(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimRight(line, "\r"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

func eventID(event []byte) []byte {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := field(line, "id:"); ok {
			return bytes.TrimRight(value, "\r")
		}
		event = rest
	}
	return nil
}
