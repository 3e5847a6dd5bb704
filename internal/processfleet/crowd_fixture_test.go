package processfleet_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/internal/processfleet"
)

const (
	// crowdMemory is the memory of the instance in the crowd tests' settings, in
	// megabytes. The process must stay below it.
	crowdMemory = 96
	// crowdDescriptors is the limit of the process's open descriptors, which it must
	// not exhaust.
	crowdDescriptors = 1024
	// legalBody and legalHead are the default limits of a caller's request.
	legalBody = 4 << 20
	legalHead = 32 << 10
	// settleTime is how long a crowd holds its connections before the process is
	// checked.
	settleTime = 3 * time.Second
)

// crowdEntry is an entry with one replica group and one plain service.
type crowdEntry struct {
	t     *testing.T
	ctx   context.Context //nolint:containedctx // the context of the test
	entry *processfleet.Entry
	tls   bool
}

func startCrowdEntry(t *testing.T, withTLS bool) *crowdEntry {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	plan := processfleet.Plan{
		Zones: []string{"a"}, EntriesPerZone: 1, EnginesPerZone: 2, GroupsPerZone: 1, GroupSize: 1, Slots: 64, ColdLimit: 8,
		EngineFlags: []string{
			"--load-time", "100ms", "--cold-time", "100ms", "--slots", "64",
			"--token-interval", "1ms", "--prefill-per-token", "0s",
		},
		EntryMemoryMB: crowdMemory, EntryDescriptors: crowdDescriptors,
	}
	directory := t.TempDir()
	if withTLS {
		plan.CertificateFile, plan.PrivateKeyFile = writeCertificate(t, directory)
	}
	f, err := processfleet.Start(ctx, directory, plan)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.WaitGroupsOpen(ctx))
	return &crowdEntry{t: t, ctx: ctx, entry: f.Entries[0], tls: withTLS}
}

func writeCertificate(t *testing.T, directory string) (certificateFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	certificateFile, keyFile = filepath.Join(directory, "tls.crt"), filepath.Join(directory, "tls.key")
	require.NoError(t, os.WriteFile(certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), 0o600))
	return certificateFile, keyFile
}

func (e *crowdEntry) callers() string   { return strings.TrimPrefix(e.entry.Caller, "http://") }
func (e *crowdEntry) operators() string { return strings.TrimPrefix(e.entry.Operator, "http://") }
func (e *crowdEntry) peers() string     { return e.entry.Peer }

// requireOrdinaryRequestIsServed sends a small model request until it is served, as a
// caller that honours rejections does.
func (e *crowdEntry) requireOrdinaryRequestIsServed() {
	e.t.Helper()
	url := e.entry.Caller
	transport := &http.Transport{DisableKeepAlives: true}
	if e.tls {
		url = strings.Replace(url, "http://", "https://", 1)
		transport.TLSClientConfig = &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the test's own certificate
	}
	c := load.NewCaller(&http.Client{Timeout: 20 * time.Second, Transport: transport}, processfleet.CallerKey)
	var last load.Response
	for range 200 {
		e.requireAlive()
		last = c.Generate(e.ctx, url, load.Request{Model: processfleet.Model, Prompt: "ordinary", MaxTokens: 4})
		if last.Complete {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(e.t, "no ordinary request was served", "the last one: %+v; log: %s", last, e.lastLog())
}

func (e *crowdEntry) lastLog() string {
	text := e.entry.Output()
	return text[max(0, len(text)-2000):]
}

func (e *crowdEntry) requireAlive() {
	e.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(e.t, e.entry.Wait(ctx), context.Canceled, "the entry exited: %s", e.lastLog())
}

// requireWithinLimits checks that the process lives, and that its peak memory and its
// open descriptors are below the limits of its instance.
func (e *crowdEntry) requireWithinLimits() {
	e.t.Helper()
	e.requireAlive()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.entry.PID()))
	require.NoError(e.t, err)
	_, after, found := bytes.Cut(status, []byte("VmHWM:"))
	require.True(e.t, found)
	peak, err := strconv.Atoi(string(bytes.Fields(after)[0]))
	require.NoError(e.t, err)
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.entry.PID()))
	require.NoError(e.t, err)
	e.t.Logf("peak memory %d MB, %d open descriptors", peak*1024/1_000_000, len(files))
	require.Less(e.t, peak*1024, crowdMemory*1_000_000, "peak memory in bytes")
	require.Less(e.t, len(files), crowdDescriptors, "open descriptors")
}

// requireHolds checks the entry while the crowd's connections are open.
func (e *crowdEntry) requireHolds() {
	e.t.Helper()
	e.requireWithinLimits()
	e.requireOrdinaryRequestIsServed()
	e.requireWithinLimits()
}

// connect opens n connections to the address and runs f on each, all at the same time.
// They stay open until the test ends. f's errors are those of a connection that the
// entry has closed, which it may.
func (e *crowdEntry) connect(n int, address string, f func(c net.Conn) error) {
	e.t.Helper()
	var wg sync.WaitGroup
	for range n {
		c, err := net.Dial("tcp", address)
		if err != nil {
			continue // the entry may refuse connections
		}
		e.t.Cleanup(func() { _ = c.Close() })
		require.NoError(e.t, c.SetDeadline(time.Now().Add(settleTime+20*time.Second)))
		if e.tls {
			c = tls.Client(c, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // the test's own certificate
		}
		wg.Go(func() { _ = f(c) })
	}
	held := make(chan struct{})
	go func() {
		wg.Wait()
		close(held)
	}()
	select {
	case <-held:
	case <-time.After(settleTime):
	}
	time.Sleep(settleTime)
}
