package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// engineStream is a response that is being generated. It is kept for at
// least resumeWindow after its connection broke, so that the caller can resume it.
type engineStream struct {
	id        string
	model     string
	chat      bool
	maxTokens int
	created   int64
	// digest is the hash of the prompt and all tokens so far.
	digest *xxhash.Digest

	mu      sync.Mutex
	tokens  []string
	done    bool
	stopped bool
	// changed is closed at the next change.
	changed chan struct{}
	// attached counts the connections that read the stream; attachedChangedAt is
	// when that number last changed.
	attached          int
	attachedChangedAt time.Time
	// releaseSlotOnce releases the engine's slot on its first call. It does
	// nothing before setReleaseSlot has been called.
	releaseSlotOnce func()
}

func newEngineStream(id string, request generateWire, chat bool) *engineStream {
	s := &engineStream{
		id:              id,
		model:           request.Model,
		chat:            chat,
		maxTokens:       request.MaxTokens,
		created:         time.Now().Unix(),
		digest:          xxhash.New(),
		changed:         make(chan struct{}),
		releaseSlotOnce: func() {},
		// No connection is attached yet, so resumeWindow starts now.
		attachedChangedAt: time.Now(),
	}
	_, _ = s.digest.WriteString(renderPrompt(request))
	return s
}

// renderPrompt joins the messages like a chat template. With continue_final_message
// the last message is rendered as the start of the assistant's response, whatever its
// role. Its continuation then equals the rest of an uninterrupted response.
func renderPrompt(request generateWire) string {
	text := request.Prompt
	for i, message := range request.Messages {
		open := request.ContinueFinalMessage && i == len(request.Messages)-1
		if open {
			return text + "<assistant>" + message.Content
		}
		text += "<" + message.Role + ">" + message.Content
	}
	if len(request.Messages) > 0 {
		text += "<assistant>"
	}
	return text
}

// generateToken appends the next token, which is a hash of the preceding text. The
// slot is released before the last token becomes visible, since a caller may send
// its next request as soon as it sees the end.
func (s *engineStream) generateToken() {
	if s.nextIsLast() {
		s.releaseSlot()
	}
	token := " " + strconv.FormatUint(s.digest.Sum64()%0xffff, 36)
	_, _ = s.digest.WriteString(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	s.done = len(s.tokens) >= s.maxTokens
	s.notify()
}

func (s *engineStream) nextIsLast() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)+1 >= s.maxTokens
}

// setReleaseSlot sets the function that releases the engine's slot. It is called
// once the slot is acquired.
func (s *engineStream) setReleaseSlot(release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseSlotOnce = sync.OnceFunc(release)
}

func (s *engineStream) releaseSlot() {
	s.mu.Lock()
	release := s.releaseSlotOnce
	s.mu.Unlock()
	release()
}

// notify wakes all readers. The caller holds the lock.
func (s *engineStream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *engineStream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.notify()
}

func (s *engineStream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done || s.stopped
}

// snapshot returns the tokens from index n on, whether the response is complete or
// stopped, and a channel that is closed at the next change.
func (s *engineStream) snapshot(n int) (tokens []string, done, stopped bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n < len(s.tokens) {
		tokens = s.tokens[n:]
	}
	return tokens, s.done, s.stopped, s.changed
}

// attach adds change to the number of attached connections: 1 when one is attached,
// -1 when one is detached.
func (s *engineStream) attach(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attached += change
	s.attachedChangedAt = time.Now()
}

// abandoned reports whether no connection has been attached for longer than window.
func (s *engineStream) abandoned(window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attached == 0 && time.Since(s.attachedChangedAt) > window
}

// appendChunk appends an OpenAI completion chunk. The final chunk has a finish
// reason and no token.
func (s *engineStream) appendChunk(buf []byte, token, finish string) []byte {
	object, prefix := "text_completion", "cmpl-"
	if s.chat {
		object, prefix = "chat.completion.chunk", "chatcmpl-"
	}
	buf = append(buf, `{"id":"`...)
	buf = append(buf, prefix...)
	buf = append(buf, s.id...)
	buf = append(buf, `","object":"`...)
	buf = append(buf, object...)
	buf = append(buf, `","created":`...)
	buf = strconv.AppendInt(buf, s.created, 10)
	buf = append(buf, `,"model":`...)
	buf = strconv.AppendQuote(buf, s.model)
	buf = append(buf, `,"choices":[{"index":0,`...)
	buf = s.appendContent(buf, token)
	buf = append(buf, `,"finish_reason":`...)
	if finish == "" {
		return append(buf, `null}]}`...)
	}
	buf = strconv.AppendQuote(buf, finish)
	return append(buf, `}]}`...)
}

func (s *engineStream) appendContent(buf []byte, token string) []byte {
	switch {
	case s.chat && token == "":
		return append(buf, `"delta":{}`...)
	case s.chat:
		buf = append(buf, `"delta":{"content":`...)
		buf = strconv.AppendQuote(buf, token)
		return append(buf, '}')
	default:
		buf = append(buf, `"text":`...)
		return strconv.AppendQuote(buf, token)
	}
}
