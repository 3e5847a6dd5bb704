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
)

// Stage is how far an exchange came.
type Stage int

const (
	// Unsent means that no byte of the request was written.
	Unsent Stage = iota
	// Sent means that the server may have the request, in part or whole.
	Sent
	// HeadRead means that the head of the answer arrived.
	HeadRead
	// Complete means that the answer arrived as a whole.
	Complete
)

// String returns the stage's name in log lines.
func (s Stage) String() string {
	return [...]string{"unsent", "sent", "head-read", "complete"}[s]
}

// Failure says how an exchange ended and how far it had come.
type Failure struct {
	Stage Stage
	// Fresh says that the connection carried no exchange before.
	Fresh bool
	Err   error
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Stage.String() + ": " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Request is what is sent. Its body is in memory, so that it can be sent again.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one request and its answer on a connection.
type Exchange struct {
	Response *http.Response
	conn     *conn
	pool     *Pool
	stop     func() bool
	body     io.Reader
	done     bool
}

// errForeign means that an answer belongs to another request.
var errForeign = errors.New("the answer belongs to another request")

// maxForeign is how many late answers to other requests are passed over on
// one connection.
const maxForeign = 2

// Do sends the request and reads the head of its answer. belongs tells
// whether an answer is to this request; others that arrive before it are
// passed over. The context's end closes the connection.
func (p *Pool) Do(ctx context.Context, server Server, r *Request, belongs func(http.Header) bool, fresh bool) (*Exchange, *Failure) {
	c, err := p.get(ctx, server, fresh)
	if err != nil {
		return nil, &Failure{Stage: Unsent, Fresh: true, Err: err}
	}
	isFresh := c.exchanges == 0
	c.exchanges++
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &Exchange{conn: c, pool: p, stop: stop}
	if n, err := c.Write(r.encode()); err != nil {
		stage := Sent
		if n == 0 {
			stage = Unsent
		}
		x.Abort()
		return nil, &Failure{Stage: stage, Fresh: isFresh, Err: err}
	}
	if err := x.readHead(r.Method, belongs); err != nil {
		x.Abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Failure{Stage: Sent, Fresh: isFresh, Err: err}
	}
	return x, nil
}

func (x *Exchange) readHead(method string, belongs func(http.Header) bool) error {
	for range maxForeign + 1 {
		answer, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return errors.Wrap(err, "read the answer's head")
		}
		if answer.StatusCode < http.StatusOK {
			continue // an interim answer such as 100 Continue
		}
		if belongs(answer.Header) {
			x.Response, x.body = answer, answer.Body
			return nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return errors.Wrap(err, "read an answer to another request")
		}
	}
	return errForeign
}

// Body returns the answer's body. It ends with io.EOF only if it is whole.
func (x *Exchange) Body() io.Reader { return x.body }

// Finish ends a whole exchange; its connection is kept for the next if the
// server allows it.
func (x *Exchange) Finish() {
	if x.done {
		return
	}
	x.done = true
	if !x.stop() {
		_ = x.conn.Close()
		x.pool.drop(x.conn)
		return
	}
	if x.Response.Close || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		x.pool.drop(x.conn)
		return
	}
	_ = x.conn.SetReadDeadline(time.Time{})
	x.pool.put(x.conn, keepAlive(x.Response.Header))
}

// Abort closes the connection, which tells the server to stop.
func (x *Exchange) Abort() {
	if x.done {
		return
	}
	x.done = true
	x.stop()
	_ = x.conn.Close()
	x.pool.drop(x.conn)
}

// keepAlive returns how long the server keeps an idle connection; 0 if it
// doesn't say.
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

// encode returns the request's bytes. The header's fields are written as they
// are; the length is that of the body.
func (r *Request) encode() []byte {
	size := len(r.Method) + len(r.Target) + len(r.Host) + len(r.Body) + 64
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
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	server    Server
	reader    *bufio.Reader
	exchanges int
	idleUntil time.Time
}
