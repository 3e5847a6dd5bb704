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
	// heartbeatInterval is how long a stream to a caller may be silent.
	heartbeatInterval = 5 * time.Second
	// deadlineStep is how often a stream's write deadline moves on.
	deadlineStep = time.Second
)

// sink delivers an answer to the caller.
type sink struct {
	// open tells the caller that a backend server has taken the request on.
	open func()
	// event delivers one event's data.
	event func(data []byte, c chunk) error
	// flush sends what was delivered.
	flush func() error
	// end completes the answer.
	end func(g *generation) error
	// started reports whether the caller has received anything.
	started func() bool
	// fail tells the caller, after it received something, that the answer is
	// not whole.
	fail func(e *caller.Error)
	// close ends the sink's own work.
	close func()
}

// streamWriter writes server-sent events to a caller.
type streamWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	// id begins the events' ids; empty for no ids.
	id string

	mu        sync.Mutex
	buf       []byte
	next      int
	begun     bool
	deadline  time.Time
	heartbeat *time.Timer
	closed    bool
}

// newStreamSink returns a sink that streams. With an id, events carry ids, so
// that the entry on the other side can check them.
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

// open sends the reply's header ahead of the first event, so that the caller
// is ready for it when it comes.
func (s *streamWriter) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return
	}
	s.begin()
	_ = s.control.Flush() // a caller that has left shows at the first event
}

func (s *streamWriter) event(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin()
	s.append(data)
	return nil
}

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

// begin sends the reply's header before the first event.
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

// beat writes a comment into a silent stream.
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

// newWholeSink returns a sink that assembles the answer and sends it whole.
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
