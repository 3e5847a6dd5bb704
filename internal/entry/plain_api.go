package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// servePlain handles a call of a plain service. It panics with http.ErrAbortHandler
// if the response body can't be copied completely.
func (a *callerAPI) servePlain(w http.ResponseWriter, r *http.Request) {
	// net/http does not detect that a caller disconnected while the request body
	// is unread, so the default request timeout limits the call.
	ctx, cancel := context.WithTimeout(r.Context(), a.config.State().Defaults().RequestTimeout)
	defer cancel()
	memory := &clientMemory{limiter: a.clients, ctx: ctx}
	defer memory.release()
	reply, callerErr := a.plainReply(r.WithContext(ctx), memory)
	if callerErr != nil {
		a.metrics.recordRejection(callerErr)
		a.metrics.recordPlainCall(callerErr.Run)
		callerErr.Write(w)
		return
	}
	defer reply.Body.Close()
	a.metrics.recordPlainCall(caller.Ran)
	removeHopByHopHeaders(reply.Header)
	for name, values := range reply.Header {
		w.Header()[name] = values
	}
	w.Header().Set(caller.RunHeader, string(caller.Ran))
	w.WriteHeader(reply.StatusCode)
	if err := a.copyBody(w, reply.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller must detect an incomplete response
	}
}

// plainCallMemory returns the memory that a call takes at most: the buffers that copy its
// body and its response, and the start of its body, which is kept for a retry in a
// buffer that grows by doubling.
func plainCallMemory(length int64) int64 {
	if length == 0 {
		return copyBufferBytes
	}
	if length < 0 || length > maxReplayBytes {
		length = maxReplayBytes
	}
	return 2*copyBufferBytes + 2*length
}

// plainReply authenticates and admits a call and sends it to a backend server. The
// call counts as in flight for the organisation only until the response header has
// arrived. The caller of plainReply closes the response body.
func (a *callerAPI) plainReply(r *http.Request, memory *clientMemory) (*http.Response, *caller.Error) {
	state := a.config.State()
	organisation, callerErr := authenticate(state, r)
	if callerErr != nil {
		return nil, callerErr
	}
	if !a.ready() {
		return nil, unavailable("not-ready", "the entry is starting or shutting down; use another entry")
	}
	service, found := state.Service(r.PathValue("name"))
	if !found || service.Kind != operator.PlainService {
		return nil, &caller.Error{
			Status: http.StatusNotFound, Code: "unknown-service", Run: caller.NotRun,
			Message: "unknown plain service " + r.PathValue("name"),
		}
	}
	if memory.reserve(plainCallMemory(r.ContentLength)) != nil {
		return nil, noMemory()
	}
	if callerErr := a.router.beginRequest(organisation.Name); callerErr != nil {
		return nil, callerErr
	}
	defer a.router.endRequest(organisation.Name)
	return a.plain.send(r, service, r.PathValue("path"))
}

// copyBody streams a response body to the caller. Each write extends the write
// deadline.
func (a *callerAPI) copyBody(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(a.limits.WriteTimeout))
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
