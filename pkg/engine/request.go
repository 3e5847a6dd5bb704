package engine

import (
	"net/http"
	"strconv"
)

// Headers that an inference request carries in addition to those of the OpenAI
// API.
const (
	// RequestIDHeader carries the attempt's ID, which can't be guessed. The
	// engine includes it in the id of every event.
	RequestIDHeader = "X-Request-Id"
	// ResumeHeader carries the id of the last event received, as defined by
	// the server-sent events standard.
	ResumeHeader = "Last-Event-ID"
	// GenerationHeader carries the replica group's generation, by which the
	// engine rejects outdated requests.
	GenerationHeader = "X-Group-Generation"
	// PriorityHeader carries the request's priority; lower values are served
	// first.
	PriorityHeader = "X-Request-Priority"
)

// Request is one attempt to generate a response.
type Request struct {
	// Path is the OpenAI API path, such as /v1/chat/completions.
	Path string
	// ID identifies the attempt, so that its events can be resumed. It can't be
	// guessed.
	ID string
	// Body is the OpenAI request body with streaming enabled.
	Body []byte
	// Generation is the replica group's generation, by which the engine rejects
	// outdated requests.
	Generation uint64
	// Priority orders the requests of an engine; lower values are served first.
	Priority int
	// Header holds additional headers to send. The headers that this package sets
	// take precedence.
	Header http.Header
	// ResumeAfter is the number of the event after which to resume; nil starts
	// a new response.
	ResumeAfter *int
}

func (r Request) setHeaders(header http.Header) {
	for name, values := range r.Header {
		header[name] = values
	}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(RequestIDHeader, r.ID)
	header.Set(GenerationHeader, strconv.FormatUint(r.Generation, 10))
	header.Set(PriorityHeader, strconv.Itoa(r.Priority))
	if r.ResumeAfter != nil {
		header.Set(ResumeHeader, EventID(r.ID, *r.ResumeAfter))
	}
}

// EventID returns the id of event n of an attempt.
func EventID(requestID string, n int) string {
	return requestID + "/" + strconv.Itoa(n)
}
