package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if last, ok := lastEventNumber(r); ok {
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
	s, rejection := e.accept(r, id, request)
	if rejection != "" {
		rejectNotRun(w, rejection)
		return
	}
	go e.generate(s, renderPrompt(request))
	e.writeEvents(w, r, s, 0)
}

// accept registers the stream of a new request. If the engine can't serve the
// request, accept returns the reason instead.
func (e *Engine) accept(r *http.Request, id string, request generateWire) (*engineStream, string) {
	e.CheckMembers()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	switch state := e.state(now); {
	case state == "idle", state == "loading":
		return nil, "the model is not loaded"
	case request.Model != e.model:
		return nil, "a different model is loaded"
	case e.role.Rank != 0:
		return nil, "this member is not the leader of its group"
	}
	e.countRequest(now, arrival(r))
	s := newEngineStream(id, request, r.URL.Path == "/v1/chat/completions")
	e.streams[id] = s
	return s, ""
}

// resume continues a response after event number last.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, id string, last int) {
	e.mu.Lock()
	s := e.streams[id]
	rejected := e.faults.RejectResume
	e.mu.Unlock()
	if s == nil || rejected {
		http.NotFound(w, r)
		return
	}
	e.writeEvents(w, r, s, last+1)
}

// acquireSlot waits until one of the engine's slots is free and takes it.
func (e *Engine) acquireSlot() {
	e.mu.Lock()
	if e.running < e.speed.Slots {
		e.running++
		e.mu.Unlock()
		return
	}
	granted := make(chan struct{})
	e.slotQueue = append(e.slotQueue, granted)
	e.mu.Unlock()
	<-granted
}

// releaseSlot hands the slot over to the first queued request, or frees it.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.slotQueue) == 0 {
		e.running--
		return
	}
	close(e.slotQueue[0])
	e.slotQueue = e.slotQueue[1:]
}

// generate produces the response's tokens at the engine's speed. It stops when no
// connection has been attached for resumeWindow.
func (e *Engine) generate(s *engineStream, prompt string) {
	e.acquireSlot()
	s.setReleaseSlot(e.releaseSlot)
	defer s.releaseSlot()
	time.Sleep(e.prefill(prompt))
	for !s.ended() {
		interval, blocked := e.nextInterval()
		time.Sleep(interval)
		if s.abandoned(resumeWindow) {
			s.stop()
			break
		}
		if !blocked {
			s.generateToken()
		}
	}
	time.AfterFunc(resumeWindow, func() { e.dropStream(s) })
}

// dropStream removes a stream, unless a new stream has replaced it under its
// request ID.
func (e *Engine) dropStream(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// prefill adds the prompt to the prefix cache and returns the processing time of
// its uncached part.
func (e *Engine) prefill(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := e.cache.use(prompt) / bytesPerToken
	e.counts.TokensPrefilled += int64(uncached)
	return time.Duration(uncached) * e.speed.PrefillPerToken
}

// nextInterval returns the time to wait, and whether generation is blocked because
// the engine is paused or a member is missing.
func (e *Engine) nextInterval() (interval time.Duration, blocked bool) {
	missing := e.CheckMembers()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Paused || missing {
		return pausePollInterval, true
	}
	return e.speed.TokenInterval * time.Duration(max(e.faults.Slow, 1)), false
}

// writeEvents streams the response's events, starting at event number next.
func (e *Engine) writeEvents(w http.ResponseWriter, r *http.Request, s *engineStream, next int) {
	s.attach(1)
	defer s.attach(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	var buf []byte
	for {
		tokens, done, stopped, changed := s.snapshot(next)
		buf = buf[:0]
		for _, token := range tokens {
			buf = e.appendEvent(buf, s, next, s.appendChunk(nil, token, ""))
			next++
		}
		if done {
			buf = e.appendEvent(buf, s, next, s.appendChunk(nil, "", "length"))
			buf = e.appendEvent(buf, s, next+1, []byte("[DONE]"))
		}
		if _, err := w.Write(buf); err != nil || stopped {
			panic(http.ErrAbortHandler)
		}
		_ = flusher.Flush()
		if done {
			return
		}
		if e.shouldCut(next) {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// shouldCut reports whether the fault CutAfter applies now, and clears the fault if
// so.
func (e *Engine) shouldCut(delivered int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutAfter == 0 || delivered < e.faults.CutAfter {
		return false
	}
	e.faults.CutAfter = 0
	return true
}

// appendEvent appends a server-sent event, subject to the fault CrossResponses.
func (e *Engine) appendEvent(buf []byte, s *engineStream, number int, data []byte) []byte {
	id := s.id
	e.mu.Lock()
	if e.faults.CrossResponses && number == 1 {
		id = "someone-else"
		data = s.appendChunk(nil, " of-another-answer", "")
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
