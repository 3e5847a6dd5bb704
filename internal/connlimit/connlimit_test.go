package connlimit_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
)

const megabyte = 1 << 20

// pipeListener accepts the connections that are sent on it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { close(l); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is a limited HTTP server and its clients, in virtual time.
type fixture struct {
	limiter  *connlimit.Limiter
	listener pipeListener
	mu       sync.Mutex
	evicted  []connlimit.Eviction
}

// serve runs f with a server whose clients may hold capacity bytes on maxConns
// connections. The server answers a request with the length of its body, 503 if there is
// no memory for it, and 400 if it can't be read.
func serve(t *testing.T, capacity int64, maxConns int, f func(t *testing.T, x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{listener: make(pipeListener)}
		x.limiter = connlimit.New(capacity, connlimit.WithOnEvict(func(e connlimit.Eviction) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.evicted = append(x.evicted, e)
		}))
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, reserved, err := x.limiter.ReadRequest(r.Context(), r.Body, r.ContentLength)
			defer x.limiter.Release(r.Context(), reserved)
			switch {
			case errors.Is(err, connlimit.ErrNoMemory):
				w.WriteHeader(http.StatusServiceUnavailable)
			case err != nil:
				w.WriteHeader(http.StatusBadRequest)
			default:
				time.Sleep(10 * time.Millisecond)
				_, _ = w.Write(bytes.Repeat([]byte("x"), len(body)))
			}
		})}
		x.limiter.Install(s, nil)
		done := make(chan error, 1)
		go func() { done <- s.Serve(x.limiter.Listen(x.listener, maxConns)) }()
		f(t, x)
		_ = s.Close()
		require.ErrorIs(t, <-done, http.ErrServerClosed)
		synctest.Wait()
	})
}

func (x *fixture) connect() net.Conn {
	near, far := net.Pipe()
	x.listener <- far
	return near
}

// post sends a request with a body and returns the response's status and size. The
// server may respond before it has read the whole body, and close the connection.
func (x *fixture) post(c net.Conn, body string) (status, size int, err error) {
	defer c.Close()
	go func() {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: server\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	received, err := io.ReadAll(response.Body)
	return response.StatusCode, len(received), err
}

// Guards against bodies that stop short and stay: the ones that hold most for longest
// without progress give way to a request that makes progress.
func TestStalledBodiesGiveWay(t *testing.T) {
	serve(t, 4*megabyte, 100, func(t *testing.T, x *fixture) {
		for range 3 {
			c := x.connect()
			defer c.Close()
			go func() {
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 900000\r\n\r\n"+strings.Repeat("b", 899_999))
			}()
		}
		synctest.Wait()
		status, size, err := x.post(x.connect(), strings.Repeat("b", 2*megabyte))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, 2*megabyte, size)
		require.NotEmpty(t, x.evicted)
		require.Equal(t, "memory", x.evicted[0].Reason)
		require.Greater(t, x.evicted[0].Held, int64(900_000))
		require.LessOrEqual(t, x.limiter.Used(), int64(4*megabyte))
	})
}

// Guards against a connection that is closed although it makes progress: a request that
// finds no room is refused instead, and a small one is served meanwhile.
func TestRequestsThatProgressAreNotClosed(t *testing.T) {
	serve(t, 4*megabyte, 100, func(t *testing.T, x *fixture) {
		steady := x.connect()
		defer steady.Close()
		go func() {
			_, _ = io.WriteString(steady, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 3500000\r\n\r\n")
			for range 1000 {
				if _, err := io.WriteString(steady, strings.Repeat("b", 3500)); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		synctest.Wait()
		status, _, err := x.post(x.connect(), strings.Repeat("b", megabyte))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		status, _, err = x.post(x.connect(), "small")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Empty(t, x.evicted)
		require.EqualValues(t, 1, x.limiter.Refused())
		response := make([]byte, 12)
		_, err = io.ReadFull(steady, response)
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 200", string(response))
	})
}

// Guards against requests that each hold a part of their body and wait for one another:
// bodies of unknown length grow while they are read.
func TestGrowingBodiesDoNotWaitForOneAnother(t *testing.T) {
	serve(t, 6*megabyte, 100, func(t *testing.T, x *fixture) {
		statuses := make(chan int)
		for range 4 {
			go func() {
				c := x.connect()
				defer c.Close()
				go func() {
					_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
					for range 15 {
						_, _ = io.WriteString(c, "20000\r\n"+strings.Repeat("b", 0x20000)+"\r\n")
						time.Sleep(10 * time.Millisecond)
					}
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}()
				response := make([]byte, 12)
				if _, err := io.ReadFull(c, response); err != nil || string(response) != "HTTP/1.1 200" {
					statuses <- 0
					return
				}
				_, _ = io.Copy(io.Discard, c)
				statuses <- http.StatusOK
			}()
		}
		served := 0
		for range 4 {
			if <-statuses == http.StatusOK {
				served++
			}
		}
		require.Positive(t, served)
	})
}

// Guards against heads of many short lines, which take far more than their size once
// parsed, and against memory that stays charged after a connection's end.
func TestHeadsAreChargedByTheirLines(t *testing.T) {
	serve(t, 2*megabyte, 100, func(t *testing.T, x *fixture) {
		c := x.connect()
		go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: s\r\n"+strings.Repeat("a:\r\n", 2000)) }()
		synctest.Wait()
		require.Greater(t, x.limiter.Used(), int64(2000*100))
		_ = c.Close()
		synctest.Wait()
		require.Zero(t, x.limiter.Used())
		require.Zero(t, x.limiter.Connections())
	})
}

// Guards against connections that send nothing and take all descriptors: for a new one,
// the one that has waited longest is closed.
func TestTheLongestIdleConnectionGivesWay(t *testing.T) {
	serve(t, megabyte, 3, func(t *testing.T, x *fixture) {
		var idle []net.Conn
		for range 5 {
			c := x.connect()
			defer c.Close()
			idle = append(idle, c)
			synctest.Wait()
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, 3, x.limiter.Connections())
		require.Len(t, x.evicted, 2)
		for _, c := range idle[:2] {
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
		}
		status, _, err := x.post(x.connect(), "b")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})
}

// Guards against callers that never read: their response stays in memory until their
// connection is closed for another request.
func TestResponsesThatNobodyReadsGiveWay(t *testing.T) {
	serve(t, 4*megabyte, 100, func(t *testing.T, x *fixture) {
		for range 3 {
			c := x.connect()
			defer c.Close()
			go func() {
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 900000\r\n\r\n"+strings.Repeat("b", 900_000))
			}()
		}
		time.Sleep(100 * time.Millisecond)
		status, _, err := x.post(x.connect(), strings.Repeat("b", 2*megabyte))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.NotEmpty(t, x.evicted)
	})
}
