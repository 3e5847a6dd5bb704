package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/statusline"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// plainCall is one call of a plain service with the state of its attempts.
type plainCall struct {
	proxy      *plainProxy
	request    *http.Request
	path       string
	body       *replayableBody
	idempotent bool
	runState   caller.RunState
}

// send tries up to maxPlainAttempts backend servers in order until one responds or
// the call must not be retried. A retry uses the retry budget unless the server
// did not run the call. The caller must close the body of the response.
func (p *plainProxy) send(r *http.Request, s operator.Service, path string) (*http.Response, *caller.Error) {
	call := &plainCall{
		proxy: p, request: r, path: path, runState: caller.NotRun,
		body:       newReplayableBody(r.Body, maxReplayBytes),
		idempotent: idempotent(s, r.Method, "/"+path),
	}
	budget := p.budgets.forService(s.Name)
	budget.RecordRequest(p.config.State().Defaults().RetryPercent)
	backends := p.backends(s.Name)
	for attempts, backend := range backends {
		reply, mayHaveRun, err := call.attempt(backend)
		if err == nil {
			return reply, nil
		}
		p.recordFailure(backend)
		if r.Context().Err() != nil || attempts+1 >= maxPlainAttempts || !call.mayRetry(mayHaveRun) {
			break
		}
		if mayHaveRun && !budget.AllowRetry() {
			break
		}
	}
	return nil, call.failureError(len(backends))
}

// attempt sends the call to one backend server. After an error, the boolean result
// is false if the call certainly did not run: no connection was made, or the
// server reported that it did not run the call. It is true if the call may have
// run, and also if nothing was sent because the body can't be replayed.
func (c *plainCall) attempt(backend platform.Instance) (*http.Response, bool, error) {
	transport := c.proxy.unpooled
	if c.idempotent {
		transport = c.proxy.pooled
	}
	connected := false
	ctx := httptrace.WithClientTrace(c.request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	body, ok := c.body.newReader()
	if !ok {
		return nil, true, errors.New("the request body can't be replayed")
	}
	reply, err := transport.RoundTrip(c.backendRequest(ctx, backend, body))
	if err != nil {
		if connected {
			c.runState = caller.MayHaveRun
			transport.CloseIdleConnections() // other pooled connections may be dead too
		}
		return nil, connected, err
	}
	if !statusline.IsFinal(reply.StatusCode) {
		_ = reply.Body.Close()
		c.runState = caller.MayHaveRun
		return nil, true, errors.Errorf("%d is not the status of a response", reply.StatusCode)
	}
	if reply.Header.Get(caller.RunHeader) == string(caller.NotRun) {
		_ = reply.Body.Close()
		return nil, false, errors.New("the backend server did not run the call")
	}
	return reply, true, nil
}

// mayRetry reports whether the call may be retried on another backend server.
// mayHaveRun is the boolean result of attempt.
func (c *plainCall) mayRetry(mayHaveRun bool) bool {
	return c.idempotent || !mayHaveRun
}

// backendRequest returns the request to a backend server: the caller's request
// without the caller's key and the hop-by-hop headers.
func (c *plainCall) backendRequest(ctx context.Context, backend platform.Instance, body io.Reader) *http.Request {
	r := c.request.Clone(ctx)
	r.URL.Scheme = "http"
	r.URL.Host = backend.Address
	r.URL.Path = "/" + c.path
	r.URL.RawPath = ""
	r.Host = ""
	r.RequestURI = ""
	r.Body = nil
	if c.request.ContentLength != 0 {
		r.Body = io.NopCloser(body)
	}
	removeHopByHopHeaders(r.Header)
	r.Header.Del("Authorization") // the caller's key is not passed to backend servers
	return r
}

// failureError returns the error for the caller if no server was available or the
// last attempt failed. backends is the number of available servers. The message
// for a call that was not run is the same whether no server could be reached or a
// server reported that it did not run the call.
func (c *plainCall) failureError(backends int) *caller.Error {
	if backends == 0 {
		return unavailable("no-backend", "the service has no available backend server; try again later")
	}
	e := &caller.Error{
		Status: http.StatusBadGateway, Code: "no-answer", Run: c.runState, RetryAfter: retryAfter,
		Message: "the backend server did not respond; the call may have run",
	}
	if c.runState == caller.NotRun {
		e.Status = http.StatusServiceUnavailable
		e.Message = "no backend server could be reached; the call did not run"
	}
	return e
}

// hopByHopHeaders are the hop-by-hop headers, which a proxy must not forward.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// removeHopByHopHeaders deletes the hop-by-hop headers, including those that the
// Connection header lists.
func removeHopByHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
