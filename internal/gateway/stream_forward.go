package gateway

import (
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
)

const notContinuable = "the response that is to continue the stream is no stream of events"

var (
	// errCallerGone means that the response could not be written to the caller.
	errCallerGone = errors.New("the caller disconnected")
	// errSuperseded means that another attempt goes on with the stream.
	errSuperseded = errors.New("the stream goes on at another server")
)

// maxKeptComments limits the bytes of the comments that an attempt keeps.
const maxKeptComments = 4 << 10

// forward forwards an event of an attempt to the caller if it is new, and flushes it if
// flush is set. A new event makes the attempt the leader. Comments are no progress: a
// server whose group stands still may go on sending them. Those of an attempt that does not
// lead are kept if it may still begin the response, and left out if it may only continue it.
func (s *streamRelay) forward(a *streamAttempt, r *http.Response, e sse.RawEvent, flush bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.superseded:
		return errSuperseded
	case s.continues(a) && !isEventStream(r):
		return errors.New(notContinuable)
	case s.continues(a) && !e.Comment && len(e.ID) == 0:
		// Without an ID it has no place in the stream. It may be the text of an
		// error.
		return errors.New("an event without an ID in the continuation of a stream")
	}
	if !e.Comment {
		s.recordProgress(a, time.Now())
	}
	switch {
	case s.alreadySent(e.ID):
		return nil
	case !e.Comment:
		s.supersedeOthers(a)
	case s.leader != a && s.leader != nil:
		return nil
	case s.leader != a && len(s.running) > 1:
		return a.keepComment(e.Bytes)
	}
	if s.leader != a && s.leader != nil {
		s.logResume(a)
	}
	if err := s.write(a, r, e.Bytes); err != nil {
		return err
	}
	now := time.Now()
	s.call.recordForwarded(now)
	a.forwarded++
	if !e.Comment {
		a.lastEvent = now // not before the write: a slow caller is no silent server
	}
	if len(e.ID) > 0 {
		s.lastID = string(e.ID)
	}
	if flush {
		if err := s.flusher.Flush(); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	return nil
}

// write makes the attempt the leader and writes to the caller: first the header, if it was
// not sent yet, and the attempt's comments. The caller holds s.mu.
func (s *streamRelay) write(a *streamAttempt, r *http.Response, text []byte) error {
	s.leader = a
	if s.header == nil {
		s.writeHeader(a, r)
	}
	if len(a.comments) > 0 && !s.continues(a) {
		text = append(a.comments, text...)
	}
	a.comments = nil
	if len(text) == 0 {
		return nil
	}
	if _, err := s.w.Write(text); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// keepComment keeps a comment until the attempt leads. The caller holds the relay's mu.
func (a *streamAttempt) keepComment(text []byte) error {
	if len(a.comments)+len(text) > maxKeptComments {
		return errors.New("too many comments before the first event")
	}
	a.comments = append(a.comments, text...)
	return nil
}

// complete ends the stream with the response of an attempt that has ended as a whole.
func (s *streamRelay) complete(a *streamAttempt, r *http.Response) (streamResult, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.superseded:
		return streamBroken, errSuperseded.Error()
	case (s.header == nil || a.events == 0) && endsWithConnection(r):
		return streamBroken, "the connection ended before the first event"
	}
	s.supersedeOthers(a)
	if err := s.write(a, r, nil); err != nil {
		return streamCallerGone, err.Error()
	}
	return streamComplete, ""
}

// continues reports whether the attempt's events continue a response that another attempt
// has begun. The caller holds s.mu.
func (s *streamRelay) continues(a *streamAttempt) bool { return s.header != nil && s.header != a }

// mayContinue reports whether the response may begin the caller's one, or continue it.
func (s *streamRelay) mayContinue(a *streamAttempt, r *http.Response) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.continues(a) || isEventStream(r)
}

// supersedeOthers cancels the other attempts, and the search for a server. The caller
// holds s.mu.
func (s *streamRelay) supersedeOthers(a *streamAttempt) {
	s.stopSearch()
	for _, other := range s.running {
		if other != a && !other.superseded {
			other.superseded, other.silent = true, other.overdue(time.Now())
			other.cancel()
		}
	}
}

// recordProgress records the arrival of an event. The caller holds s.mu.
func (s *streamRelay) recordProgress(a *streamAttempt, now time.Time) {
	a.reservation.RecordProgress(now)
	s.stopSearch()
	a.lastEvent = now
	if a.events == 0 {
		a.firstEvent = now
	}
	a.events++
	if !a.alive && now.Sub(a.firstEvent) >= aliveAfter {
		a.alive = true
		s.gateway.isolation.tracker.RecordSuccess(now, s.call.sharedParts())
	}
}

// endsWithConnection reports whether only the end of the connection marks the end of the
// response, so that a whole response can't be told from one that was broken off.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && !slices.Contains(r.TransferEncoding, "chunked")
}

// isEventStream reports whether a response is a stream of events. A response without a
// content type may be one.
func isEventStream(r *http.Response) bool {
	contentType := r.Header.Get("Content-Type")
	if contentType == "" {
		return r.StatusCode == http.StatusOK
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream" && r.StatusCode == http.StatusOK
}

// writeHeader forwards the response header of the server whose stream is
// forwarded first. The headers of later servers are not sent.
func (s *streamRelay) writeHeader(a *streamAttempt, r *http.Response) {
	s.header = a
	s.gateway.metrics.first.observe(time.Since(s.call.started))
	copyResponseHeader(s.w.Header(), r.Header)
	s.w.Header().Del("Content-Length")
	s.gateway.writeHead(s.w, r.StatusCode)
}

// alreadySent reports whether the event's ID is at most lastID. An event counts
// as new unless both are decimal numbers.
func (s *streamRelay) alreadySent(id []byte) bool {
	if s.lastID == "" || len(id) == 0 {
		return false
	}
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	if err != nil {
		return false
	}
	next, err := strconv.ParseInt(string(id), 10, 64)
	return err == nil && next <= last
}

// logResume records that a server continues a stream of which the caller has already
// received events. A stream that begins at its second server is not resumed.
func (s *streamRelay) logResume(a *streamAttempt) {
	c := s.call
	s.gateway.metrics.resumed.Add(1)
	event.StreamResumed.Log(s.gateway.logger, logrus.Fields{
		"request": c.info.ID, "server": a.reservation.Server.ID, "from": s.leader.reservation.Server.ID,
		"after-event": s.lastID, "idle-ms": time.Since(c.lastAt).Milliseconds(), "attempts": c.notes(),
	})
}
