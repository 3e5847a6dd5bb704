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
	// callTimeout limits one call. A connection on which a call timed out is closed
	// and replaced, because the peer is unresponsive.
	callTimeout        = 1500 * time.Millisecond
	maxRedialDelay     = 2 * time.Second
	initialRedialDelay = 100 * time.Millisecond
)

// ErrNotConnected is returned by calls on a link without a working connection.
var ErrNotConnected = errors.New("not connected to the peer")

// Link is the client side of the connection to one peer. It reconnects with
// exponential backoff until it is closed.
type Link struct {
	url          string
	key          string
	httpClient   *http.Client
	onRevocation func(permit.Revocation)
	onConnection func(connected bool)
	cancel       context.CancelFunc
	done         chan struct{}

	mu     sync.Mutex
	conn   *websocket.Conn
	lastID uint64
	// pending holds the reply channel of each call in flight by its frame ID.
	pending map[uint64]chan frameWire
}

// LinkOption configures a Link.
type LinkOption func(*Link)

// WithRevocationHandler sets the function that is called for each revocation that
// the peer pushes. The link reads no further message until the function returns.
func WithRevocationHandler(f func(permit.Revocation)) LinkOption {
	return func(l *Link) { l.onRevocation = f }
}

// WithConnectionHandler sets the function that is called when the connection is
// established or lost. The link waits until the function returns.
func WithConnectionHandler(f func(connected bool)) LinkOption {
	return func(l *Link) { l.onConnection = f }
}

// WithHTTPClient sets the HTTP client that dials the peer.
func WithHTTPClient(c *http.Client) LinkOption {
	return func(l *Link) { l.httpClient = c }
}

// NewLink returns a Link to the peer listener at a ws or wss URL. It connects, and
// reconnects, in the background.
func NewLink(url, key string, opts ...LinkOption) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		url: url, key: key, httpClient: http.DefaultClient,
		onRevocation: func(permit.Revocation) {},
		onConnection: func(bool) {},
		cancel:       cancel, done: make(chan struct{}),
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

// Close stops the link and returns when its connection is closed. It must not be
// called by a handler of the link.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

// Connected reports whether the link has a connection. The peer may be unresponsive
// nevertheless.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// run keeps the link connected until the context is cancelled.
func (l *Link) run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialRedialDelay
	delay.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		if conn, err := l.dial(ctx); err == nil {
			delay.Reset()
			l.attach(conn)
			l.readAll(ctx, conn)
			l.detach(conn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

func (l *Link) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, l.url, &websocket.DialOptions{
		HTTPClient:      l.httpClient,
		HTTPHeader:      http.Header{"Authorization": {"Bearer " + l.key}},
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxFrameBytes)
	return conn, nil
}

// attach makes conn the current connection.
func (l *Link) attach(conn *websocket.Conn) {
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.onConnection(true)
}

// detach closes conn and fails all pending calls with ErrNotConnected.
func (l *Link) detach(conn *websocket.Conn) {
	_ = conn.CloseNow()
	l.mu.Lock()
	l.conn = nil
	for id, reply := range l.pending {
		close(reply)
		delete(l.pending, id)
	}
	l.mu.Unlock()
	l.onConnection(false)
}

// readAll delivers frames until the connection fails or sends an invalid frame.
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

// deliver passes a pushed revocation to its handler, or a reply to the call that
// waits for it. Replies to calls that timed out are dropped.
func (l *Link) deliver(f frameWire) {
	if r := f.Revocation; r != nil {
		l.onRevocation(permit.Revocation{Group: r.Group, Generation: r.Generation, Abort: r.Abort})
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

// Call sends a request and returns the peer's reply. If ctx ends or the call times
// out before the reply, Call closes the connection, which fails all other calls on
// it too. After ErrNotConnected, the peer may still have handled the request.
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
		return Reply{}, errors.Wrap(ErrNotConnected, "no reply from the peer")
	}
}

// register allocates a frame ID and a reply channel on the current connection. The
// channel is closed if the connection is lost.
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
