package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if last, ok := lastEvent(r); ok {
		e.resume(w, r, id, last)
		return
	}
	var request generateWire
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	s, refusal := e.accept(r, id, request)
	if refusal != "" {
		refuseNotRun(w, refusal)
		return
	}
	go e.produce(s, renderPrompt(request))
	e.deliver(w, r, s, 0)
}

func (e *Engine) accept(r *http.Request, id string, request generateWire) (*engineStream, string) {
	e.CheckMembers()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	switch state := e.state(now); {
	case state == "idle", state == "loading":
		return nil, "the model is not loaded"
	case request.Model != e.model:
		return nil, "another model is loaded"
	case e.order.Rank != 0:
		return nil, "this member does not answer requests"
	}
	e.count(now, arrival(r))
	s := newEngineStream(id, request, r.URL.Path == "/v1/chat/completions")
	e.streams[id] = s
	return s, ""
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, id string, last int) {
	e.mu.Lock()
	s := e.streams[id]
	forgotten := e.faults.RejectResume
	e.mu.Unlock()
	if s == nil || forgotten {
		http.NotFound(w, r)
		return
	}
	e.deliver(w, r, s, last+1)
}

// takeSlot waits for one of the engine's slots.
func (e *Engine) takeSlot() {
	e.mu.Lock()
	if e.running < e.speed.Slots {
		e.running++
		e.mu.Unlock()
		return
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	<-turn
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	close(e.waiting[0])
	e.waiting = e.waiting[1:]
}

// produce generates the answer's tokens at the engine's speed.
func (e *Engine) produce(s *engineStream, prompt string) {
	e.takeSlot()
	s.holdSlot(e.releaseSlot)
	defer s.giveSlot()
	time.Sleep(e.prefill(prompt))
	for !s.over() {
		interval, blocked := e.pace()
		time.Sleep(interval)
		if s.abandoned(resumeWindow) {
			s.stop()
			break
		}
		if !blocked {
			s.step()
		}
	}
	time.AfterFunc(resumeWindow, func() { e.forget(s) })
}

func (e *Engine) forget(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

func (e *Engine) prefill(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := e.cache.use(prompt) / bytesPerToken
	e.counts.TokensPrefilled += int64(uncached)
	return time.Duration(uncached) * e.speed.PrefillPerToken
}

// pace returns the time to the next token, and whether none can come now.
func (e *Engine) pace() (interval time.Duration, blocked bool) {
	missing := e.CheckMembers()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Paused || missing {
		return pausePollInterval, true
	}
	return e.speed.TokenInterval * time.Duration(max(e.faults.Slow, 1)), false
}

// deliver writes the answer's events from number next on.
func (e *Engine) deliver(w http.ResponseWriter, r *http.Request, s *engineStream, next int) {
	s.attach(1)
	defer s.attach(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	var buf []byte
	for {
		tokens, done, stopped, changed := s.view(next)
		buf = buf[:0]
		for _, token := range tokens {
			buf = e.event(buf, s, next, s.chunk(nil, token, ""))
			next++
		}
		if done {
			buf = e.event(buf, s, next, s.chunk(nil, "", "length"))
			buf = e.event(buf, s, next+1, []byte("[DONE]"))
		}
		if _, err := w.Write(buf); err != nil || stopped {
			panic(http.ErrAbortHandler)
		}
		_ = flusher.Flush()
		if done {
			return
		}
		if e.cuts(next) {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// cuts reports whether the connection breaks now. Each setting cuts once.
func (e *Engine) cuts(delivered int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutAfter == 0 || delivered < e.faults.CutAfter {
		return false
	}
	e.faults.CutAfter = 0
	return true
}

func (e *Engine) event(buf []byte, s *engineStream, number int, data []byte) []byte {
	id := s.id
	e.mu.Lock()
	if e.faults.CrossResponses && number == 1 {
		id = "someone-else"
		data = s.chunk(nil, " of-another-answer", "")
	}
	e.mu.Unlock()
	buf = append(buf, "id: "...)
	buf = append(buf, id...)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(number), 10)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, data...)
	return append(buf, "\n\n"...)
}
