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

// plainCall is one call on its way to a backend server.
type plainCall struct {
	proxy      *plainProxy
	request    *http.Request
	path       string
	body       *replayableBody
	idempotent bool
	run        caller.RunState
}

// send offers the call to backend servers until one answers or the call may
// not be repeated any more.
func (p *plainProxy) send(r *http.Request, s operator.Service, path string) (*http.Response, *caller.Error) {
	call := &plainCall{
		proxy: p, request: r, path: path, run: caller.NotRun,
		body:       newReplayableBody(r.Body, replayBytes),
		idempotent: idempotent(s, r.Method, "/"+path),
	}
	budget := p.budgets.of(s.Name)
	budget.RecordRequest(p.config.State().Defaults().RetryPercent)
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
		if sent && !budget.AllowRetry() {
			break
		}
	}
	return nil, call.failure(len(backends))
}

// try sends the call once. It reports whether a byte may have reached the
// backend server.
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
		return nil, true, errors.New("the body can't be sent again")
	}
	reply, err := transport.RoundTrip(c.outgoing(ctx, backend, body))
	if err != nil {
		if connected {
			c.run = caller.MayHaveRun
			transport.CloseIdleConnections() // others may be silent too
		}
		return nil, connected, err
	}
	if reply.Header.Get(caller.RunHeader) == string(caller.NotRun) {
		_ = reply.Body.Close()
		return nil, false, errors.New("the backend server did not run the call")
	}
	return reply, true, nil
}

// mayRepeat reports whether another backend server may get the call.
func (c *plainCall) mayRepeat(sent bool) bool {
	return c.idempotent || !sent
}

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
	r.Header.Del("Authorization") // the key is for this system only
	return r
}

func (c *plainCall) failure(backends int) *caller.Error {
	if backends == 0 {
		return refusal("no-backend", "no backend server of the service takes calls now; try again later")
	}
	e := &caller.Error{
		Status: http.StatusBadGateway, Code: "no-answer", Run: c.run, RetryAfter: retryAfter,
		Message: "the backend server did not answer; the call may have run",
	}
	if c.run == caller.NotRun {
		e.Status = http.StatusServiceUnavailable
		e.Message = "no backend server could be reached; the call did not run"
	}
	return e
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

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
