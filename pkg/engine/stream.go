package engine

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
)

// drainTimeout limits the wait for the end of the response body after the end
// marker.
const drainTimeout = 100 * time.Millisecond

var endMarker = []byte("[DONE]")

// Stream is a response in progress. It checks that every event belongs to its
// request and that no event is missing, duplicated or out of order. It is not safe
// for concurrent use.
type Stream struct {
	body     io.ReadCloser
	reader   *sse.Reader
	cancel   context.CancelFunc
	watchdog *time.Timer
	idle     time.Duration
	prefix   []byte
	next     int
	// started is set by the first call of Next. The timeout to the first event,
	// which began in Generate, applies to that call, and the idle timeout to each
	// following one.
	started bool
	// ended is set once the end marker was received.
	ended bool
}

// Next returns the data of the next event. It returns io.EOF at the end marker,
// ErrTruncated if the stream ends or times out without one, and ErrWrongEvent for
// an event that belongs to another request or is out of order. The slice is valid
// until the next call.
func (s *Stream) Next() ([]byte, error) {
	if s.started {
		s.watchdog.Reset(s.idle)
	}
	s.started = true
	event, err := s.reader.Read()
	if err != nil {
		return nil, errors.Wrap(ErrTruncated, err.Error())
	}
	if !s.expects(event.ID) {
		return nil, errors.Wrapf(ErrWrongEvent, "id %q", event.ID)
	}
	s.next++
	if bytes.Equal(event.Data, endMarker) {
		s.ended = true
		return nil, io.EOF
	}
	return event.Data, nil
}

func (s *Stream) expects(id []byte) bool {
	number, ok := bytes.CutPrefix(id, s.prefix)
	if !ok {
		return false
	}
	var digits [20]byte
	return bytes.Equal(number, strconv.AppendInt(digits[:0], int64(s.next), 10))
}

// Last returns the number of the last event received, -1 for none. A resumed stream
// begins with the number of the event after which it was resumed.
func (s *Stream) Last() int {
	return s.next - 1
}

// Buffered reports whether received data is waiting to be read.
func (s *Stream) Buffered() bool {
	return s.reader.Buffered() > 0
}

// Close ends the stream. After the end marker it drains the response body so
// that the connection can be reused; otherwise it closes the connection.
func (s *Stream) Close() {
	if s.ended {
		s.watchdog.Reset(drainTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxErrorBytes))
	}
	s.watchdog.Stop()
	s.cancel()
	_ = s.body.Close()
}
