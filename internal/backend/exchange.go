package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/statusline"
)

// Stage is the progress of an exchange.
type Stage int

const (
	// Unsent means that no byte of the request was written.
	Unsent Stage = iota
	// Sent means that the server may have received some or all of the
	// request.
	Sent
	// HeadRead means that the response's status line and header were read.
	HeadRead
	// Complete means that the whole response was read.
	Complete
)

// String returns the stage's name as it is logged.
func (s Stage) String() string {
	return [...]string{"unsent", "sent", "head-read", "complete"}[s]
}

// Failure is the error of an exchange and the stage that it had reached.
type Failure struct {
	Stage Stage
	// Fresh is set if the connection was not reused, or if none could be opened.
	Fresh bool
	Err   error
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Stage.String() + ": " + f.Err.Error()
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Request is a request to a backend server. Its body is in memory, so it can
// be retried.
type Request struct {
	Method string
	// Target is the path and query, unchanged from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one request and its response on a connection.
type Exchange struct {
	Response *http.Response
	conn     *conn
	pool     *Pool
	// stop keeps a later end of the context from closing the connection. It
	// returns false if the context has already ended, or if it was called before.
	stop func() bool
	body io.Reader
	// done is set by Finish and Abort.
	done bool
}

// errMismatch is returned if the first maxMismatches+1 responses were interim
// ones or belonged to other requests.
var errMismatch = errors.New("response belongs to another request")

// A server in trouble may send other bytes than a response without end.
const (
	// maxHeadBytes limits the head of a response, which is kept in memory. Many short
	// header fields take some ten times as much.
	maxHeadBytes = 8 << 10
	// maxSkippedBytes limits the body of a response to another request, which is not kept.
	maxSkippedBytes = 256 << 10
)

// maxMismatches is the number of responses that are skipped before the response
// to a request: late responses to other requests and interim responses.
const maxMismatches = 2

// Do sends the request and reads the head of its response. matches reports
// whether a response belongs to this request, which was sent on a new or a reused
// connection; up to maxMismatches others are skipped. With fresh set, no idle connection is reused. If Do returns an
// Exchange, the caller must call its Finish or Abort; until then, the connection
// is closed when ctx ends. Do itself fails only in the stages Unsent and Sent.
func (p *Pool) Do(ctx context.Context, server Server, r *Request, matches func(resp *http.Response, reused bool) bool, fresh bool) (*Exchange, *Failure) {
	c, err := p.get(ctx, server, fresh)
	if err != nil {
		return nil, &Failure{Stage: Unsent, Fresh: true, Err: err}
	}
	isFresh := c.exchanges == 0
	c.exchanges++
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &Exchange{conn: c, pool: p, stop: stop}
	if n, err := r.writeTo(c); err != nil {
		stage := Sent
		if n == 0 {
			stage = Unsent
		}
		x.Abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Failure{Stage: stage, Fresh: isFresh, Err: err}
	}
	if err := x.readHead(r.Method, func(resp *http.Response) bool { return matches(resp, !isFresh) }); err != nil {
		x.Abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Failure{Stage: Sent, Fresh: isFresh, Err: err}
	}
	return x, nil
}

// readHead reads responses until one matches, and sets Response and body.
func (x *Exchange) readHead(method string, matches func(*http.Response) bool) error {
	defer x.conn.limit.clear()
	for range maxMismatches + 1 {
		x.conn.limit.set(maxHeadBytes)
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return errors.Wrap(err, "read response head")
		}
		if statusline.IsInterim(resp.StatusCode) {
			continue // such as 100 Continue
		}
		if !statusline.IsFinal(resp.StatusCode) {
			return errors.Errorf("%d is not the status of a response", resp.StatusCode)
		}
		if matches(resp) {
			x.Response, x.body = resp, resp.Body
			return nil
		}
		x.conn.limit.set(maxSkippedBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Wrap(err, "discard response to another request")
		}
	}
	return errMismatch
}

// Reused reports whether the connection had carried another request before.
func (x *Exchange) Reused() bool { return x.conn.exchanges > 1 }

// Body returns the response's body. It ends with io.EOF only if it is complete,
// provided that the response states its length or is chunked. A body that ends
// with the connection also ends with io.EOF if the server closed the connection
// too early.
func (x *Exchange) Body() io.Reader { return x.body }

// Finish ends a complete exchange, whose body the caller has read to its end. It
// keeps the connection for reuse if the server allows it, no bytes follow the
// response and the context has not ended. It has no effect after Finish or Abort.
func (x *Exchange) Finish() {
	if x.done {
		return
	}
	x.done = true
	if !x.stop() {
		_ = x.conn.Close()
		x.pool.remove(x.conn)
		return
	}
	if x.Response.Close || x.conn.reader.Buffered() > 0 {
		x.conn.closeIdle()
		x.pool.remove(x.conn)
		return
	}
	_ = x.conn.SetReadDeadline(time.Time{})
	x.pool.put(x.conn, keepAlive(x.Response.Header))
}

// Abort closes the connection, which cancels the request at the server; what the server has
// not received yet is dropped. It has no effect after Finish or Abort.
func (x *Exchange) Abort() {
	if x.done {
		return
	}
	x.done = true
	x.stop()
	_ = x.conn.Close()
	x.pool.remove(x.conn)
}

// keepAlive returns how long the server keeps an idle connection, or 0 if the
// header doesn't state it.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// joinBodyBytes is the size up to which a body is copied behind the request's head, so
// that one write sends both.
const joinBodyBytes = 16 << 10

// writeTo writes the request in wire format and returns how many bytes were written.
func (r *Request) writeTo(w io.Writer) (int, error) {
	head := r.encodeHead()
	if len(r.Body) <= joinBodyBytes {
		return w.Write(append(head, r.Body...))
	}
	n, err := w.Write(head)
	if err != nil {
		return n, err
	}
	more, err := w.Write(r.Body)
	return n + more, err
}

// encodeHead returns the request's head in wire format. Header fields are written
// unchanged. Host is set from r.Host, and Content-Length from the body, so Header
// must hold neither. A request without a body has no Content-Length unless its
// method is POST, PUT or PATCH.
func (r *Request) encodeHead() []byte {
	size := len(r.Method) + len(r.Target) + len(r.Host) + 64
	if len(r.Body) <= joinBodyBytes {
		size += len(r.Body)
	}
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// conn is a pooled connection to a backend server.
type conn struct {
	net.Conn
	server Server
	// reader reads from the connection through limit.
	reader *bufio.Reader
	limit  *readLimit
	// exchanges counts the requests sent on the connection.
	exchanges int
	// idleUntil is when the connection must no longer be reused.
	idleUntil time.Time
}

// closeIdle closes a connection without a request in progress, and without a reset.
func (c *conn) closeIdle() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(-1) // the reset would do
	}
	_ = c.Close()
}
