package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

const (
	dialTimeout = time.Second
	// callTimeout bounds one call; a connection whose call timed out is
	// silent and gets replaced.
	callTimeout = 1500 * time.Millisecond
	maxRedial   = 2 * time.Second
	firstRedial = 100 * time.Millisecond
)

// ErrNotConnected means that the link has no connection now.
var ErrNotConnected = errors.New("the peer is not connected")

// Link is the asking side of the exchange with one peer. It redials for as
// long as it is open.
type Link struct {
	url        string
	key        string
	httpClient *http.Client
	onRevoke   func(permit.Revocation)
	onState    func(connected bool)
	cancel     context.CancelFunc
	done       chan struct{}

	mu      sync.Mutex
	conn    *websocket.Conn
	lastID  uint64
	pending map[uint64]chan frameWire
}

// LinkOption changes a Link under construction.
type LinkOption func(*Link)

// WithRevocationHandler sets the function that takes pushed revocations.
func WithRevocationHandler(f func(permit.Revocation)) LinkOption {
	return func(l *Link) { l.onRevoke = f }
}

// WithConnectionHandler sets the function that learns of connections made and lost.
func WithConnectionHandler(f func(connected bool)) LinkOption {
	return func(l *Link) { l.onState = f }
}

// WithHTTPClient sets the client that opens connections.
func WithHTTPClient(c *http.Client) LinkOption {
	return func(l *Link) { l.httpClient = c }
}

// NewLink returns a Link to the peer listener at a ws or wss URL and keeps it
// connected.
func NewLink(url, key string, opts ...LinkOption) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		url: url, key: key, httpClient: http.DefaultClient,
		onRevoke: func(permit.Revocation) {},
		onState:  func(bool) {},
		cancel:   cancel, done: make(chan struct{}),
		pending: make(map[uint64]chan frameWire),
	}
	for _, opt := range opts {
		opt(l)
	}
	go func() {
		defer close(l.done)
		l.run(ctx)
	}()
	return l
}

// Close ends the link.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

// Connected reports whether the link has a connection.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

func (l *Link) run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRedial
	wait.MaxInterval = maxRedial
	for ctx.Err() == nil {
		if conn, err := l.dial(ctx); err == nil {
			wait.Reset()
			l.attach(conn)
			l.readAll(ctx, conn)
			l.detach(conn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (l *Link) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, reply, err := websocket.Dial(ctx, l.url, &websocket.DialOptions{
		HTTPClient:      l.httpClient,
		HTTPHeader:      http.Header{"Authorization": {"Bearer " + l.key}},
		CompressionMode: websocket.CompressionDisabled,
	})
	if reply != nil && reply.Body != nil {
		_ = reply.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxFrameBytes)
	return conn, nil
}

func (l *Link) attach(conn *websocket.Conn) {
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.onState(true)
}

func (l *Link) detach(conn *websocket.Conn) {
	_ = conn.CloseNow()
	l.mu.Lock()
	l.conn = nil
	for id, reply := range l.pending {
		close(reply)
		delete(l.pending, id)
	}
	l.mu.Unlock()
	l.onState(false)
}

func (l *Link) readAll(ctx context.Context, conn *websocket.Conn) {
	for {
		_, encoded, err := conn.Read(ctx)
		if err != nil {
			return
		}
		frame, err := decodeFrame(encoded)
		if err != nil {
			return
		}
		l.deliver(frame)
	}
}

func (l *Link) deliver(f frameWire) {
	if r := f.Revocation; r != nil {
		l.onRevoke(permit.Revocation{Group: r.Group, Generation: r.Generation, Abort: r.Abort})
		return
	}
	l.mu.Lock()
	reply := l.pending[f.ID]
	delete(l.pending, f.ID)
	l.mu.Unlock()
	if reply != nil {
		reply <- f
	}
}

// Call sends a request and returns the peer's reply. A call that times out
// closes the connection, since it has gone silent.
func (l *Link) Call(ctx context.Context, r Request) (Reply, error) {
	conn, id, replies, err := l.register()
	if err != nil {
		return Reply{}, err
	}
	defer l.unregister(id)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	frame := requestToWire(r)
	frame.ID = id
	encoded, err := encodeFrame(frame)
	if err != nil {
		return Reply{}, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, encoded); err != nil {
		_ = conn.CloseNow()
		return Reply{}, errors.Wrap(ErrNotConnected, err.Error())
	}
	select {
	case f, ok := <-replies:
		if !ok {
			return Reply{}, ErrNotConnected
		}
		return replyFromWire(f), nil
	case <-ctx.Done():
		_ = conn.CloseNow()
		return Reply{}, errors.Wrap(ErrNotConnected, "the connection is silent")
	}
}

func (l *Link) register() (*websocket.Conn, uint64, chan frameWire, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, 0, nil, ErrNotConnected
	}
	l.lastID++
	replies := make(chan frameWire, 1)
	l.pending[l.lastID] = replies
	return l.conn, l.lastID, replies, nil
}

func (l *Link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}
