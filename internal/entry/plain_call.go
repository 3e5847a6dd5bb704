package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/pkg/errors"

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
	run        caller.RunState
}

// send tries backend servers in order until one responds or the call must not be
// retried.
func (p *plainProxy) send(r *http.Request, s operator.Service, path string) (*http.Response, *caller.Error) {
	call := &plainCall{
		proxy: p, request: r, path: path, run: caller.NotRun,
		body:       newReplayableBody(r.Body, replayBytes),
		idempotent: idempotent(s, r.Method, "/"+path),
	}
	budget := p.budgets.of(s.Name)
	budget.Request(p.config.State().Defaults().RetryPercent)
	backends := p.backends(s.Name)
	for tries, backend := range backends {
		reply, sent, err := call.try(backend)
		if err == nil {
			return reply, nil
		}
		p.noteFailed(backend)
		if r.Context().Err() != nil || tries+1 >= plainTries || !call.mayRepeat(sent) {
			break
		}
		if sent && !budget.Retry() {
			break
		}
	}
	return nil, call.failure(len(backends))
}

// try sends the call to one backend server. The boolean result reports whether
// any byte may have reached the server.
func (c *plainCall) try(backend platform.Instance) (*http.Response, bool, error) {
	transport := c.proxy.fresh
	if c.idempotent {
		transport = c.proxy.pooled
	}
	connected := false
	ctx := httptrace.WithClientTrace(c.request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	body, ok := c.body.start()
	if !ok {
		return nil, true, errors.New("the request body can't be replayed")
	}
	reply, err := transport.RoundTrip(c.outgoing(ctx, backend, body))
	if err != nil {
		if connected {
			c.run = caller.MayHaveRun
			transport.CloseIdleConnections() // other pooled connections may be dead too
		}
		return nil, connected, err
	}
	if reply.Header.Get(caller.RunHeader) == string(caller.NotRun) {
		_ = reply.Body.Close()
		return nil, false, errors.New("the backend server did not run the call")
	}
	return reply, true, nil
}

// mayRepeat reports whether the call may be retried on another backend server.
func (c *plainCall) mayRepeat(sent bool) bool {
	return c.idempotent || !sent
}

// outgoing returns the request to a backend server.
func (c *plainCall) outgoing(ctx context.Context, backend platform.Instance, body io.Reader) *http.Request {
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
	removeHopHeaders(r.Header)
	r.Header.Del("Authorization") // the caller's key is not passed to backend servers
	return r
}

// failure returns the error for the caller after the last attempt failed.
func (c *plainCall) failure(backends int) *caller.Error {
	if backends == 0 {
		return refusal("no-backend", "the service has no available backend server; try again later")
	}
	e := &caller.Error{
		Status: http.StatusBadGateway, Code: "no-answer", Run: c.run, RetryAfter: retryAfter,
		Message: "the backend server did not respond; the call may have run",
	}
	if c.run == caller.NotRun {
		e.Status = http.StatusServiceUnavailable
		e.Message = "no backend server could be reached; the call did not run"
	}
	return e
}

// hopHeaders are the hop-by-hop headers, which a proxy must not forward.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// removeHopHeaders deletes the hop-by-hop headers, including those that the
// Connection header lists.
func removeHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
