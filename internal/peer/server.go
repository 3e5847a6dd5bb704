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
	// maxFrameBytes bounds one message.
	maxFrameBytes = 4 << 20
	// silenceTimeout is how long a connection may carry nothing.
	silenceTimeout = 5 * time.Second
	writeTimeout   = 2 * time.Second
	// maxAnswers is how many requests of one connection are answered at once.
	// A peer has an exchange, a relay and a configuration pull under way at
	// most; the rest is room for calls that it has given up.
	maxAnswers = 8
)

// Handler answers a peer's request.
type Handler func(ctx context.Context, r Request) Reply

// Server accepts peers' connections.
type Server struct {
	key     string
	handler Handler
	// onRefuse learns of a peer with a wrong key.
	onRefuse func(address string)
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	conns map[string]map[*serverConn]struct{}
	wg    sync.WaitGroup
}

// serverConn is one accepted connection.
type serverConn struct {
	ws *websocket.Conn
	mu sync.Mutex
}

// NewServer returns a Server that admits holders of the key. Others are told to
// onRefuse.
func NewServer(key string, handler Handler, onRefuse func(address string)) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		key: key, handler: handler, onRefuse: onRefuse, ctx: ctx, cancel: cancel,
		conns: make(map[string]map[*serverConn]struct{}),
	}
}

// Authorized reports whether the request carries the peer key.
func Authorized(r *http.Request, key string) bool {
	given := r.Header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+key)) == 1
}

// ServeHTTP accepts one peer's connection and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !Authorized(r, s.key) {
		s.onRefuse(r.RemoteAddr)
		http.Error(w, "wrong peer key", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode:    websocket.CompressionDisabled,
		InsecureSkipVerify: true, // origins concern browsers; peers carry a key
	})
	if err != nil {
		return
	}
	ws.SetReadLimit(maxFrameBytes)
	s.wg.Add(1)
	defer s.wg.Done()
	s.serve(&serverConn{ws: ws})
}

func (s *Server) serve(c *serverConn) {
	entry := ""
	var answers errgroup.Group
	answers.SetLimit(maxAnswers)
	defer func() {
		s.forget(entry, c)
		_ = c.ws.CloseNow()
		_ = answers.Wait() // a failed write has ended the connection
	}()
	for {
		frame, err := s.read(c)
		if err != nil {
			return
		}
		if frame.Exchange != nil && entry == "" {
			entry = frame.Exchange.Entry
			s.remember(entry, c)
		}
		// A relay may wait for the platform; an exchange behind it must not.
		answers.Go(func() error { return s.answer(c, frame) })
	}
}

func (s *Server) answer(c *serverConn, frame frameWire) error {
	reply := replyToWire(s.handler(s.ctx, requestFromWire(frame)))
	reply.ID = frame.ID
	err := c.write(s.ctx, reply)
	if err != nil {
		_ = c.ws.CloseNow()
	}
	return err
}

func (s *Server) read(c *serverConn) (frameWire, error) {
	ctx, cancel := context.WithTimeout(s.ctx, silenceTimeout)
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

func (s *Server) remember(entry string, c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[entry] == nil {
		s.conns[entry] = make(map[*serverConn]struct{})
	}
	s.conns[entry][c] = struct{}{}
}

func (s *Server) forget(entry string, c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns[entry], c)
	if len(s.conns[entry]) == 0 {
		delete(s.conns, entry)
	}
}

// Push sends a revocation to every connected peer. A peer that can't be
// reached loses its permits at the end of their term.
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

// Close ends all connections.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
}
