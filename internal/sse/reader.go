package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxDataBytes limits the length of one line of an event stream, including its line
// ending, and of the data of one event, however many lines it has.
const maxDataBytes = 128 << 10

// errTooLong is returned for a line or an event that exceeds maxDataBytes.
var errTooLong = errors.New("the event has more than 128 KiB")

// Event is one server-sent event. Its slices are valid until the next Read.
type Event struct {
	// ID is the value of the event's last id field, or empty if there is none.
	ID []byte
	// Data is the value of the event's data fields, joined by newlines.
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	buf  *bufio.Reader
	id   []byte
	data []byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buf: bufio.NewReaderSize(r, 16<<10)}
}

// Buffered returns the number of bytes that have arrived but have not been
// read.
func (r *Reader) Buffered() int {
	return r.buf.Buffered()
}

// Read returns the next event that has data. It skips comments and all fields
// other than id and data. It returns io.EOF at the end of the stream, also in the
// middle of an event, which is then dropped.
func (r *Reader) Read() (Event, error) {
	r.id, r.data = r.id[:0], r.data[:0]
	hasData := false
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				return Event{ID: r.id, Data: r.data}, nil
			}
			continue
		}
		if value, ok := field(line, "id:"); ok {
			r.id = append(r.id[:0], value...)
		}
		if value, ok := field(line, "data:"); ok {
			if len(r.data)+len(value) >= maxDataBytes {
				return Event{}, errTooLong
			}
			r.appendData(value, hasData)
			hasData = true
		}
	}
}

func (r *Reader) appendData(value []byte, again bool) {
	if again {
		r.data = append(r.data, '\n')
	}
	r.data = append(r.data, value...)
}

func (r *Reader) line() ([]byte, error) {
	line, err := r.buf.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return r.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (r *Reader) longLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for {
		part, err := r.buf.ReadSlice('\n')
		long = append(long, part...)
		if len(long) > maxDataBytes {
			return nil, errTooLong
		}
		if err == nil {
			return bytes.TrimRight(long, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func field(line []byte, name string) ([]byte, bool) {
	if !bytes.HasPrefix(line, []byte(name)) {
		return nil, false
	}
	value := line[len(name):]
	return bytes.TrimPrefix(value, []byte(" ")), true
}
