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

// drainTimeout bounds the wait for a reply's end behind its end marker.
const drainTimeout = 100 * time.Millisecond

var endMarker = []byte("[DONE]")

// Stream is a running answer. It checks that every event belongs to its
// request and that none is missing, doubled or out of order.
type Stream struct {
	body     io.ReadCloser
	reader   *sse.Reader
	cancel   context.CancelFunc
	watchdog *time.Timer
	idle     time.Duration
	prefix   []byte
	next     int
	// started says that the first event was asked for; until it comes, the
	// longer timeout to the first event counts.
	started bool
	// ended says that the end marker has come.
	ended bool
}

// Next returns the data of the next event. It returns io.EOF after the end
// marker, ErrTruncated when the stream ends without one, and ErrWrongEvent
// for an event of another request or out of order. The slice is valid until
// the next call.
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

// Last returns the number of the last event received, -1 for none.
func (s *Stream) Last() int {
	return s.next - 1
}

// Buffered reports whether more of the answer has arrived already.
func (s *Stream) Buffered() bool {
	return s.reader.Buffered() > 0
}

// Close ends the stream. After the end marker it reads the last bytes of the
// reply, so that the connection can carry another request; else it closes the
// connection.
func (s *Stream) Close() {
	if s.ended {
		s.watchdog.Reset(drainTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxErrorBytes))
	}
	s.watchdog.Stop()
	s.cancel()
	_ = s.body.Close()
}
