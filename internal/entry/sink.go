package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

const (
	// keepAliveInterval is the longest time without data on a stream to a
	// caller. A keep-alive comment is sent then or up to
	// deadlineExtensionInterval earlier, because data restarts the timer only
	// when it extends the write deadline.
	keepAliveInterval = 5 * time.Second
	// deadlineExtensionInterval is the shortest time between two extensions of
	// a stream's write deadline.
	deadlineExtensionInterval = time.Second
)

// sink writes a response to the caller, either as a stream or as a whole.
type sink struct {
	// open is called once a backend server has accepted the request. A stream
	// sends its response header then.
	open func()
	// event writes the data of one event to the buffer.
	event func(data []byte, c chunk) error
	// flush sends the buffered events.
	flush func() error
	// end completes the response.
	end func(g *generation) error
	// started reports whether a stream has begun: its header is set and may have
	// been sent. It is false for a buffered response.
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

	mu             sync.Mutex
	buf            []byte
	nextEvent      int
	headerSet      bool
	deadline       time.Time
	keepAliveTimer *time.Timer
	closed         bool
}

// newStreamSink returns a sink that streams the response. id is the request ID if
// another entry forwarded the request, or else empty. With it, the events have the
// ids id/0, id/1, and so on, which the forwarding entry validates.
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

// open sends the response header before the first event, so the first token need
// not wait for it.
func (s *streamWriter) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headerSet {
		return
	}
	s.setHeader()
	_ = s.control.Flush() // writing the first event reports a disconnected caller
}

func (s *streamWriter) event(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setHeader()
	s.append(data)
	return nil
}

// append adds an event to the buffer. The caller holds mu.
func (s *streamWriter) append(data []byte) {
	if s.id != "" {
		s.buf = append(s.buf, "id: "...)
		s.buf = append(s.buf, s.id...)
		s.buf = append(s.buf, '/')
		s.buf = strconv.AppendInt(s.buf, int64(s.nextEvent), 10)
		s.buf = append(s.buf, '\n')
	}
	s.nextEvent++
	s.buf = append(s.buf, "data: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
}

// setHeader sets the response header and starts the keep-alive timer, on its
// first call. The caller holds mu.
func (s *streamWriter) setHeader() {
	if s.headerSet {
		return
	}
	s.headerSet = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(caller.RunHeader, string(caller.Ran))
	s.keepAliveTimer = time.AfterFunc(keepAliveInterval, s.sendKeepAlive)
}

// sendKeepAlive sends a keep-alive comment on an idle stream.
func (s *streamWriter) sendKeepAlive() {
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
	if s.deadline.Sub(now) < s.writeTimeout-deadlineExtensionInterval {
		s.deadline = now.Add(s.writeTimeout)
		_ = s.control.SetWriteDeadline(s.deadline)
		s.keepAliveTimer.Reset(keepAliveInterval)
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
	s.setHeader()
	s.append([]byte("[DONE]"))
	return s.send()
}

func (s *streamWriter) started() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headerSet
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
	if s.keepAliveTimer != nil {
		s.keepAliveTimer.Stop()
	}
}

// newBufferedSink returns a sink that sends the response as one JSON object at the end.
// The generation collects the text.
func newBufferedSink(w http.ResponseWriter) sink {
	finish := ""
	return sink{
		open: func() {},
		event: func(_ []byte, c chunk) error {
			if c.finishReason != "" {
				finish = c.finishReason
			}
			return nil
		},
		flush:   func() error { return nil },
		end:     func(g *generation) error { return writeCompletion(w, g, g.text.String(), finish) },
		started: func() bool { return false },
		fail:    func(*caller.Error) {},
		close:   func() {},
	}
}

type completionMessageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoiceWire struct {
	Index        int                    `json:"index"`
	Message      *completionMessageWire `json:"message,omitempty"`
	Text         *string                `json:"text,omitempty"`
	FinishReason string                 `json:"finish_reason"`
}

type completionUsageWire struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionWire struct {
	ID      string                 `json:"id"`
	Object  string                 `json:"object"`
	Created int64                  `json:"created"`
	Model   string                 `json:"model"`
	Choices []completionChoiceWire `json:"choices"`
	Usage   completionUsageWire    `json:"usage"`
}

func writeCompletion(w http.ResponseWriter, g *generation, text, finish string) error {
	completion := completionWire{
		ID: g.responseID(), Object: "text_completion", Created: g.created, Model: g.model,
		Usage: completionUsageWire{CompletionTokens: g.tokens, TotalTokens: g.tokens},
	}
	choice := completionChoiceWire{FinishReason: finish}
	if g.chat {
		completion.Object = "chat.completion"
		choice.Message = &completionMessageWire{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	completion.Choices = []completionChoiceWire{choice}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(caller.RunHeader, string(caller.Ran))
	return json.NewEncoder(w).Encode(completion)
}
