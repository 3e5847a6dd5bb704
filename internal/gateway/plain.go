package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
)

// plainResponse is a server's response, buffered in memory.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
	notRun bool
}

// servePlain handles a request whose response is buffered and then forwarded.
// It panics with http.ErrAbortHandler if the caller has disconnected.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *call) {
	var errorResponse *plainResponse
	for tries := 0; tries < maxUnsentAttempts+c.route.MaxAttempts; tries++ {
		isRetry := tries > 0
		if (isRetry && ended(ctx)) || (c.sent > 0 && (c.sent >= c.route.MaxAttempts || !g.takeRetry(c))) {
			break
		}
		res := g.reserve(ctx, c, "", isRetry)
		if res == nil {
			c.addNote("no server has capacity")
			break
		}
		if !g.keyTrusted(c) {
			res.Release(time.Now(), dispatch.Cancelled)
			g.reject(w, c, http.StatusServiceUnavailable, staleRetryAfter, "the configuration is no longer confirmed")
			return
		}
		response, failure := g.attemptPlain(ctx, c, res)
		if failure == nil && response.status < http.StatusInternalServerError && !response.notRun {
			g.deliver(w, c, response)
			return
		}
		if failure != nil && failure.Stage == backend.Unsent {
			continue
		}
		if failure == nil && response.notRun {
			// The server did not run the request, but sending it again counts
			// as a retry.
			c.setRejected(res.Server.ID, response.status)
			if !g.takeRetry(c) {
				break
			}
			continue
		}
		c.sent++
		if failure == nil {
			errorResponse = response
		}
		if !c.route.Retryable() {
			break
		}
	}
	g.finishPlain(ctx, w, c, errorResponse)
}

// finishPlain ends a request that no server completed successfully. It forwards
// the last error response, if there is one. Otherwise it sends a response of its
// own, or panics with http.ErrAbortHandler if the caller has disconnected.
func (g *Gateway) finishPlain(ctx context.Context, w http.ResponseWriter, c *call, errorResponse *plainResponse) {
	switch {
	case errorResponse != nil:
		g.deliver(w, c, errorResponse)
	case c.callerGone():
		g.logOutcome(c, 0, "the caller disconnected")
		panic(http.ErrAbortHandler)
	case c.sent == 0:
		g.reject(w, c, http.StatusServiceUnavailable, g.finalRetryAfter(c), "no server accepted the request")
	case g.graceOver.Err() != nil:
		g.reject(w, c, http.StatusGatewayTimeout, 0, "the entry is shutting down; the request may have run")
	case ctx.Err() != nil:
		g.reject(w, c, http.StatusGatewayTimeout, 0, "timed out waiting for the response; the request may have run")
	default:
		g.reject(w, c, http.StatusBadGateway, 0, "the response was lost; the request may have run")
	}
}

// attemptPlain sends the request to one server and reads its response. It
// releases the reservation. A 2xx response without a signature or with a content
// encoding is a failure.
func (g *Gateway) attemptPlain(ctx context.Context, c *call, res *dispatch.Reservation) (*plainResponse, *backend.Failure) {
	started := time.Now()
	result := dispatch.Failed
	defer func() {
		if errors.Is(ctx.Err(), context.Canceled) || (result == dispatch.Unresponsive && ended(ctx)) {
			result = dispatch.Cancelled
		}
		res.Release(time.Now(), result)
		g.queues.Queue(c.service, "").Dispatch()
	}()
	newConn := c.needsNewConn(res.Server.ID)
	c.setTried(res.Server.ID, time.Time{})
	x, failure := g.send(ctx, c, res, "", newConn)
	if failure != nil {
		c.addNote(res.Server.ID + " " + failure.Error())
		if failure.Stage == backend.Unsent {
			result = dispatch.Unresponsive
		} else if !failure.Fresh {
			g.pool.CloseIdle(res.Server.ID)
		}
		return nil, failure
	}
	info := g.platform.Protocol.DecodeResponse(x.Response.Header, x.Response.StatusCode)
	body, err := g.readBody(ctx, c, x)
	status := x.Response.StatusCode
	switch {
	case err != nil:
	case status < http.StatusMultipleChoices && !info.Signed:
		err = errors.New("the response has no signature")
	case status < http.StatusMultipleChoices && x.Response.Header.Get("Content-Encoding") != "":
		err = errors.New("the response has a content encoding")
	}
	if err != nil {
		x.Abort()
		c.addNote(res.Server.ID + " " + err.Error())
		return nil, &backend.Failure{Stage: backend.HeadRead, Err: err}
	}
	x.Finish()
	switch {
	case info.NotRun:
		result = dispatch.Rejected
	case status < http.StatusInternalServerError:
		result = dispatch.Served
	}
	c.addNote(res.Server.ID + " " + strconv.Itoa(status) + " in " + time.Since(started).Round(time.Millisecond).String())
	return &plainResponse{status: status, header: x.Response.Header, body: body, notRun: info.NotRun}, nil
}

// readBody buffers the body of a response for the rest of the call.
func (g *Gateway) readBody(ctx context.Context, c *call, x *backend.Exchange) ([]byte, error) {
	body, reserved, err := g.clients.ReadResponse(ctx, http.MaxBytesReader(nil, io.NopCloser(x.Body()), maxPlainResponse), x.Response.ContentLength)
	c.addReserved(reserved)
	return body, errors.Wrap(err, "buffer the response body")
}

// deliver forwards a buffered response to the caller and logs the outcome.
func (g *Gateway) deliver(w http.ResponseWriter, c *call, response *plainResponse) {
	g.metrics.status(response.status)
	copyResponseHeader(w.Header(), response.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	g.writeHead(w, response.status)
	_, err := io.Copy(w, bytes.NewReader(response.body))
	switch {
	case err != nil:
		g.logOutcome(c, response.status, "failed to write the response to the caller: "+err.Error())
	case response.status >= http.StatusInternalServerError:
		g.logOutcome(c, response.status, "the server returned an error status")
	default:
		g.logOutcome(c, response.status, "")
	}
}
