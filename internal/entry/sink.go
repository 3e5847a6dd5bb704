package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

const (
	// heartbeatInterval is the longest time without data on a stream to a
	// caller, before a keep-alive comment is sent.
	heartbeatInterval = 5 * time.Second
	// deadlineStep is the shortest time between two extensions of a stream's
	// write deadline.
	deadlineStep = time.Second
)

// sink writes a response to the caller, either as a stream or as a whole.
type sink struct {
	// open sends the response header once a backend server has accepted the
	// request.
	open func()
	// event writes the data of one event to the buffer.
	event func(data []byte, c chunk) error
	// flush sends the buffered events.
	flush func() error
	// end completes the response.
	end func(g *generation) error
	// started reports whether the response header was sent.
	started func() bool
	// fail sends an error event in a response that has already started.
	fail func(e *caller.Error)
	// close stops the keep-alive timer.
	close func()
}

// streamWriter writes server-sent events to a caller.
type streamWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	// id is the prefix of the event ids; if empty, events have no id.
	id string

	mu        sync.Mutex
	buf       []byte
	next      int
	begun     bool
	deadline  time.Time
	heartbeat *time.Timer
	closed    bool
}

// newStreamSink returns a sink that streams the response. If id is not empty,
// events have ids, which the forwarding entry validates.
func newStreamSink(w http.ResponseWriter, writeTimeout time.Duration, id string) sink {
	s := &streamWriter{
		w: w, control: http.NewResponseController(w), writeTimeout: writeTimeout, id: id,
	}
	return sink{
		open:    s.open,
		event:   func(data []byte, _ chunk) error { return s.event(data) },
		flush:   s.flush,
		end:     func(*generation) error { return s.end() },
		started: s.started,
		fail:    s.fail,
		close:   s.close,
	}
}

// open sends the response header ahead of the first event, which removes that
// step from the time to the first token.
func (s *streamWriter) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return
	}
	s.begin()
	_ = s.control.Flush() // writing the first event reports a disconnected caller
}

func (s *streamWriter) event(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin()
	s.append(data)
	return nil
}

// append adds an event to the buffer. The caller holds mu.
func (s *streamWriter) append(data []byte) {
	if s.id != "" {
		s.buf = append(s.buf, "id: "...)
		s.buf = append(s.buf, s.id...)
		s.buf = append(s.buf, '/')
		s.buf = strconv.AppendInt(s.buf, int64(s.next), 10)
		s.buf = append(s.buf, '\n')
	}
	s.next++
	s.buf = append(s.buf, "data: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
}

// begin sets the response header and starts the keep-alive timer, on its first
// call. The caller holds mu.
func (s *streamWriter) begin() {
	if s.begun {
		return
	}
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(caller.RunHeader, string(caller.Ran))
	s.heartbeat = time.AfterFunc(heartbeatInterval, s.beat)
}

// beat sends a keep-alive comment on an idle stream.
func (s *streamWriter) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.buf = append(s.buf, ": keep-alive\n\n"...)
	_ = s.send()
}

func (s *streamWriter) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.send()
}

// send writes the buffer and extends the write deadline. The caller holds mu.
func (s *streamWriter) send() error {
	if len(s.buf) == 0 {
		return nil
	}
	now := time.Now()
	if s.deadline.Sub(now) < s.writeTimeout-deadlineStep {
		s.deadline = now.Add(s.writeTimeout)
		_ = s.control.SetWriteDeadline(s.deadline)
		s.heartbeat.Reset(heartbeatInterval)
	}
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *streamWriter) end() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin()
	s.append([]byte("[DONE]"))
	return s.send()
}

func (s *streamWriter) started() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

func (s *streamWriter) fail(e *caller.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(e.Body())
	_ = s.send()
}

func (s *streamWriter) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.heartbeat != nil {
		s.heartbeat.Stop()
	}
}

// newWholeSink returns a sink that collects the response and sends it as one
// JSON object at the end.
func newWholeSink(w http.ResponseWriter) sink {
	var text strings.Builder
	finish := ""
	return sink{
		open: func() {},
		event: func(_ []byte, c chunk) error {
			text.WriteString(c.text)
			if c.finish != "" {
				finish = c.finish
			}
			return nil
		},
		flush:   func() error { return nil },
		end:     func(g *generation) error { return writeWhole(w, g, text.String(), finish) },
		started: func() bool { return false },
		fail:    func(*caller.Error) {},
		close:   func() {},
	}
}

type wholeMessageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeChoiceWire struct {
	Index        int               `json:"index"`
	Message      *wholeMessageWire `json:"message,omitempty"`
	Text         *string           `json:"text,omitempty"`
	FinishReason string            `json:"finish_reason"`
}

type wholeUsageWire struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type wholeWire struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []wholeChoiceWire `json:"choices"`
	Usage   wholeUsageWire    `json:"usage"`
}

func writeWhole(w http.ResponseWriter, g *generation, text, finish string) error {
	answer := wholeWire{
		ID: g.answerID(), Object: "text_completion", Created: g.created, Model: g.model,
		Usage: wholeUsageWire{CompletionTokens: g.tokens, TotalTokens: g.tokens},
	}
	choice := wholeChoiceWire{FinishReason: finish}
	if g.chat {
		answer.Object = "chat.completion"
		choice.Message = &wholeMessageWire{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []wholeChoiceWire{choice}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(caller.RunHeader, string(caller.Ran))
	return json.NewEncoder(w).Encode(answer)
}
