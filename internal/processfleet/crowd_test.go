package processfleet_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/processfleet"
)

func requestHead(path, key, extra string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n" + extra
}

func modelHead(extra string) string {
	return requestHead("/v1/completions", processfleet.CallerKey, extra)
}

func withLength(head, body string) string {
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// modelBody returns a request of legalBody bytes that is not streamed, so that the entry
// rewrites it.
func modelBody() string {
	start, end := `{"model":"`+processfleet.Model+`","max_tokens":4,"prompt":"`, `"}`
	return start + strings.Repeat("b", legalBody-len(start)-len(end)) + end
}

// repeated returns a chat request of up to legalBody bytes with many small elements.
func repeated(start string, element func(n int) string, end string) string {
	var b strings.Builder
	b.WriteString(`{"model":"` + processfleet.Model + `",` + start)
	for n := 0; b.Len() < legalBody-64; n++ {
		b.WriteString(element(n))
	}
	return b.String() + end
}

// shortLines returns header lines of a legal size in all.
func shortLines(line func(n int) string) string {
	var b strings.Builder
	for n := 0; b.Len() < legalHead-512; n++ {
		b.WriteString(line(n))
	}
	return b.String()
}

// send returns a function that writes the text to a connection.
func send(text string) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, text)
		return err
	}
}

// sendUntilClosed returns a function that writes the chunk again and again, to 8 MiB at
// most.
func sendUntilClosed(start, chunk string) func(net.Conn) error {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, start); err != nil {
			return err
		}
		for sent := 0; sent < 8<<20; sent += len(chunk) {
			if _, err := io.WriteString(c, chunk); err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against many large bodies of legal size at a time, most of which stop just
// short of their end, on each listener that takes bodies.
func TestCrowdOfLargeBodies(t *testing.T) {
	body := modelBody()
	chunked := func(size int) string {
		var b strings.Builder
		b.WriteString(modelHead("Transfer-Encoding: chunked\r\n\r\n"))
		for sent := 0; sent < legalBody; sent += size {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", size, body[sent:sent+size])
		}
		return b.String()
	}
	whole := withLength(modelHead(""), body)
	change := withLength(requestHead("/config/changes", processfleet.OperatorKey, ""), strings.Repeat(" ", 1<<20))
	forwarded := withLength(requestHead("/forward/v1/completions", processfleet.PeerKey, "X-Organisation: tester\r\n"), body)
	for _, crowd := range []struct {
		name    string
		tls     bool
		n       int
		address func(*crowdEntry) string
		f       func(net.Conn) error
	}{
		{"stop short", false, 60, (*crowdEntry).callers, send(whole[:len(whole)-1])},
		{"stop short, TLS", true, 60, (*crowdEntry).callers, send(whole[:len(whole)-1])},
		{"whole", false, 60, (*crowdEntry).callers, send(whole)},
		{"chunks, no last one", false, 60, (*crowdEntry).callers, send(chunked(64 << 10))},
		{"chunks, whole", false, 60, (*crowdEntry).callers, send(chunked(64<<10) + "0\r\n\r\n")},
		{"length, nothing sent", false, 60, (*crowdEntry).callers, send(whole[:len(whole)-len(body)])},
		{"piece by piece", false, 60, (*crowdEntry).callers, func(c net.Conn) error {
			for sent := 0; sent < legalBody; sent += 64 << 10 {
				if _, err := io.WriteString(c, whole[sent:sent+64<<10]); err != nil {
					return err
				}
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		}},
		{"forwarded, stop short", false, 60, (*crowdEntry).peers, send(forwarded[:len(forwarded)-1])},
		{"operators, stop short", false, 100, (*crowdEntry).operators, send(change[:len(change)-1])},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			e := startCrowdEntry(t, crowd.tls)
			e.connect(crowd.n, crowd.address(e), crowd.f)
			e.requireHolds()
		})
	}
}

// Guards against bodies of legal size that take many times their size once parsed.
func TestCrowdOfManySmallElements(t *testing.T) {
	for name, body := range map[string]string{
		"messages": repeated(`"messages":[`, func(int) string { return "1," }, "1]}"),
		"fields":   repeated(`"messages":[1]`, func(n int) string { return `,"` + strconv.FormatInt(int64(n), 36) + `":1` }, "}"),
	} {
		t.Run(name, func(t *testing.T) {
			require.Less(t, len(body), legalBody)
			e := startCrowdEntry(t, false)
			e.connect(30, e.callers(), send(withLength(requestHead("/v1/chat/completions", processfleet.CallerKey, ""), body)))
			e.requireHolds()
		})
	}
}

// Guards against calls of plain services whose bodies are kept for a retry, and stop
// just short of their end.
func TestCrowdOfPlainBodies(t *testing.T) {
	call := withLength(requestHead("/services/"+processfleet.Service+"/x", processfleet.CallerKey, ""), strings.Repeat("b", 64<<10))
	e := startCrowdEntry(t, false)
	e.connect(450, e.callers(), send(call[:len(call)-1]))
	e.requireHolds()
}

// Guards against heads of legal size that take many times their size once parsed, held
// by requests that never become complete.
func TestCrowdOfManyShortHeaderLines(t *testing.T) {
	for name, line := range map[string]func(n int) string{
		"distinct": func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" },
		"same":     func(int) string { return "a:\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			e := startCrowdEntry(t, false)
			e.connect(400, e.callers(), send(modelHead(shortLines(line)+"Content-Length: 2\r\n\r\na")))
			e.requireHolds()
		})
	}
}

// Guards against heads over the limit and heads without end, on every listener.
func TestCrowdOfHeadsWithoutEnd(t *testing.T) {
	for name, address := range map[string]func(*crowdEntry) string{
		"callers": (*crowdEntry).callers, "callers, TLS": (*crowdEntry).callers,
		"operators": (*crowdEntry).operators, "peers": (*crowdEntry).peers,
	} {
		for shape, chunk := range map[string]string{
			"long lines":  "x: " + strings.Repeat("y", 4000) + "\r\n",
			"short lines": strings.Repeat("x:\r\n", 1000),
			"one line":    strings.Repeat("y", 4000),
			"stops":       "",
		} {
			t.Run(name+" "+shape, func(t *testing.T) {
				e := startCrowdEntry(t, strings.HasSuffix(name, "TLS"))
				f := sendUntilClosed("GET / HTTP/1.1\r\nHost: h\r\n", chunk)
				if chunk == "" {
					f = send("GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(func(int) string { return "x:\r\n" }))
				}
				e.connect(400, address(e), f)
				e.requireHolds()
			})
		}
	}
}

// Guards against empty lines without end before a request.
func TestCrowdOfEmptyLines(t *testing.T) {
	e := startCrowdEntry(t, false)
	e.connect(200, e.callers(), sendUntilClosed("", strings.Repeat("\r\n", 1000)))
	e.requireHolds()
}

// Guards against TLS handshakes that stop short: each first message may take 64 KiB.
func TestCrowdOfHandshakesWithoutEnd(t *testing.T) {
	e := startCrowdEntry(t, true)
	e.tls = false // the crowd sends records of its own
	record := func(payload string) string {
		return "\x16\x03\x01" + string([]byte{byte(len(payload) >> 8), byte(len(payload))}) + payload
	}
	part := strings.Repeat("\x00", 16000)
	hello := record("\x01\x00\xff\x00"+part) + record(part) + record(part) + record(part)
	e.connect(450, e.callers(), send(hello))
	e.tls = true
	e.requireHolds()
}

// Guards against callers that never read their responses.
func TestCrowdOfSlowReaders(t *testing.T) {
	prompt := `{"model":"` + processfleet.Model + `","prompt":"p","max_tokens":200000`
	plain := requestHead("/services/"+processfleet.Service+"/x", processfleet.CallerKey, "")
	for name, request := range map[string]string{
		"stream": withLength(modelHead(""), prompt+`,"stream":true}`),
		"whole":  withLength(modelHead(""), prompt+`}`),
		"plain":  withLength(plain, strings.Repeat("b", 8_000_000)),
	} {
		t.Run(name, func(t *testing.T) {
			e := startCrowdEntry(t, false)
			e.connect(60, e.callers(), func(c net.Conn) error {
				if err := c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
					return err
				}
				return send(request)(c)
			})
			e.requireHolds()
		})
	}
}

// Guards against open connections that take all descriptors of the process: those that
// send nothing, and those kept after a response.
func TestCrowdOfIdleConnections(t *testing.T) {
	for name, address := range map[string]func(*crowdEntry) string{
		"callers": (*crowdEntry).callers, "callers, TLS": (*crowdEntry).callers,
		"operators": (*crowdEntry).operators, "peers": (*crowdEntry).peers,
	} {
		t.Run(name+" nothing sent", func(t *testing.T) {
			e := startCrowdEntry(t, strings.HasSuffix(name, "TLS"))
			e.connect(crowdDescriptors+200, address(e), func(c net.Conn) error {
				if encrypted, ok := c.(*tls.Conn); ok {
					return encrypted.Handshake()
				}
				return nil
			})
			e.requireHolds()
		})
	}
	t.Run("callers, bodies not sent", func(t *testing.T) {
		e := startCrowdEntry(t, false)
		e.connect(crowdDescriptors+200, e.callers(), send(requestHead("/v1/completions", "unknown", "Content-Length: 100\r\n\r\n")))
		e.requireHolds()
	})
	t.Run("callers kept", func(t *testing.T) {
		e := startCrowdEntry(t, false)
		e.connect(crowdDescriptors+200, e.callers(), func(c net.Conn) error {
			if err := send("GET /live HTTP/1.1\r\nHost: h\r\n\r\n")(c); err != nil {
				return err
			}
			_, err := bufio.NewReader(c).ReadString('\n')
			return err
		})
		e.requireHolds()
	})
}

// Guards against limits that turn away what the settings allow: each request is at the
// limit, and the only one.
func TestCrowdLimitsServeASingleRequestAtTheLimit(t *testing.T) {
	e := startCrowdEntry(t, false)
	lines := shortLines(func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" })
	small := `{"model":"` + processfleet.Model + `","max_tokens":4,"prompt":"p"}`
	for name, request := range map[string]string{
		"head": withLength(modelHead(lines+"Connection: close\r\n"), small),
		"body": withLength(modelHead("Connection: close\r\n"), modelBody()),
	} {
		c, err := net.Dial("tcp", e.callers())
		require.NoError(t, err)
		require.NoError(t, send(request)(c), name)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusOK, response.StatusCode, name)
		_ = response.Body.Close()
		_ = c.Close()
	}
	e.requireWithinLimits()
}
