package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

const (
	// maxFrameBytes limits the size of one received message.
	maxFrameBytes = 4 << 20
	// readTimeout is how long a connection may stay without an incoming message.
	readTimeout  = 5 * time.Second
	writeTimeout = 2 * time.Second
	// maxConcurrentRequests limits the requests of one connection that are handled
	// at the same time. A peer has at most one exchange, one relay and one
	// configuration pull in flight. The rest covers calls that it has abandoned.
	maxConcurrentRequests = 8
)

// Handler handles a peer's request. It is called concurrently.
type Handler func(ctx context.Context, r Request) Reply

// Server accepts connections from peers.
type Server struct {
	key     string
	handler Handler
	// onReject is called with the address of each peer that presents a wrong key.
	onReject func(address string)
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// conns holds the connections of each entry that has sent an exchange.
	conns map[string]map[*serverConn]struct{}
	wg    sync.WaitGroup
}

// serverConn is one accepted connection.
type serverConn struct {
	ws *websocket.Conn
	// mu serialises writes.
	mu sync.Mutex
}

// NewServer returns a Server that accepts peers that present the key. onReject is
// called for the others.
func NewServer(key string, handler Handler, onReject func(address string)) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		key: key, handler: handler, onReject: onReject, ctx: ctx, cancel: cancel,
		conns: make(map[string]map[*serverConn]struct{}),
	}
}

// Authorized reports whether the request carries the peer key.
func Authorized(r *http.Request, key string) bool {
	credentials := r.Header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(credentials), []byte("Bearer "+key)) == 1
}

// ServeHTTP accepts a peer's connection and serves it until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !Authorized(r, s.key) {
		s.onReject(r.RemoteAddr)
		http.Error(w, "wrong peer key", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode:    websocket.CompressionDisabled,
		InsecureSkipVerify: true, // the origin check is for browsers; peers authenticate with the key
	})
	if err != nil {
		return
	}
	ws.SetReadLimit(maxFrameBytes)
	s.wg.Add(1)
	defer s.wg.Done()
	s.serve(&serverConn{ws: ws})
}

// serve reads requests and handles them concurrently until the connection fails. It
// stops reading while maxConcurrentRequests requests are in progress.
func (s *Server) serve(c *serverConn) {
	entry := ""
	var handlers errgroup.Group
	handlers.SetLimit(maxConcurrentRequests)
	defer func() {
		s.unregister(entry, c)
		_ = c.ws.CloseNow()
		_ = handlers.Wait() // the error is that of a write that closed the connection
	}()
	for {
		frame, err := s.read(c)
		if err != nil {
			return
		}
		if frame.Exchange != nil && entry == "" {
			entry = frame.Exchange.Entry
			s.register(entry, c)
		}
		// Requests are handled concurrently: an exchange must not wait behind a
		// relay, which may wait for the platform.
		handlers.Go(func() error { return s.handle(c, frame) })
	}
}

// handle calls the handler and sends its reply. If the write fails, it closes the
// connection.
func (s *Server) handle(c *serverConn, frame frameWire) error {
	reply := replyToWire(s.handler(s.ctx, requestFromWire(frame)))
	reply.ID = frame.ID
	err := c.write(s.ctx, reply)
	if err != nil {
		_ = c.ws.CloseNow()
	}
	return err
}

func (s *Server) read(c *serverConn) (frameWire, error) {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	_, encoded, err := c.ws.Read(ctx)
	if err != nil {
		return frameWire{}, err
	}
	return decodeFrame(encoded)
}

func (c *serverConn) write(ctx context.Context, f frameWire) error {
	encoded, err := encodeFrame(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ws.Write(ctx, websocket.MessageBinary, encoded)
}

// register adds the connection to those of an entry. Push sends to them.
func (s *Server) register(entry string, c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[entry] == nil {
		s.conns[entry] = make(map[*serverConn]struct{})
	}
	s.conns[entry][c] = struct{}{}
}

// unregister removes a connection from those of its entry.
func (s *Server) unregister(entry string, c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns[entry], c)
	if len(s.conns[entry]) == 0 {
		delete(s.conns, entry)
	}
}

// Push sends a revocation on every connection that has carried an exchange, without
// waiting. If it does not reach a peer, the peer's permits expire at the end of
// their term.
func (s *Server) Push(r permit.Revocation) {
	frame := frameWire{Revocation: &revocationWire{
		Group: r.Group, Generation: r.Generation, Abort: r.Abort,
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conns := range s.conns {
		for c := range conns {
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				_ = c.write(s.ctx, frame)
			}()
		}
	}
}

// Close closes all connections and waits for their handlers to return.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
}
