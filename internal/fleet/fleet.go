package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// PlatformZone is the place of the platform's stand-in in the network.
const PlatformZone = "platform"

const (
	operatorKey = "operator-key-of-the-fleet"
	peerKey     = "peer-key-of-the-whole-fleet"
	anyPort     = "127.0.0.1:0"
)

// Fleet is a running fleet.
type Fleet struct {
	Plan     Plan
	Network  *standin.Network
	Platform *standin.Platform
	Records  *standin.Records
	// Seeds are the peer addresses that entries started from now on know.
	Seeds []string

	logger     *logrus.Logger
	directory  string
	platformAt string
	servers    []*http.Server

	mu        sync.Mutex
	instances []*Instance
	entries   []*Member
	listed    map[string]bool
	leaving   map[string]bool
}

// Start starts the fleet on the network and puts its configuration into force.
func Start(ctx context.Context, plan Plan, network *standin.Network, logs io.Writer) (*Fleet, error) {
	f := &Fleet{
		Plan: plan, Network: network, Platform: standin.NewPlatform(), Records: standin.NewRecords(),
		logger: newLogger(plan.LogLevel, logs), listed: make(map[string]bool), leaving: make(map[string]bool),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func newLogger(level string, logs io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(logs)
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.writeKeys(); err != nil {
		return err
	}
	address, err := f.serve(PlatformZone, f.Platform, nil)
	if err != nil {
		return err
	}
	f.platformAt = address
	if err := f.startInstances(); err != nil {
		return err
	}
	for _, zone := range f.Plan.Zones {
		for i := range f.Plan.EntriesPerZone {
			if _, err := f.StartEntry(fmt.Sprintf("entry-%s%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	return f.configure(ctx)
}

// writeKeys writes the shared secrets into a directory of the fleet's own.
func (f *Fleet) writeKeys() error {
	directory, err := os.MkdirTemp("", "hibiscuspulley")
	if err != nil {
		return errors.Wrap(err, "make a directory for the keys")
	}
	f.directory = directory
	for name, key := range map[string]string{"operator-key": operatorKey, "peer-key": peerKey} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(key), 0o600); err != nil {
			return errors.Wrap(err, "write a key")
		}
	}
	return nil
}

// serve serves a handler on a free port of the zone.
func (f *Fleet) serve(zone string, handler http.Handler, into **http.Server) (string, error) {
	listener, err := f.Network.Listener(zone)("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "open a stand-in's listener")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	f.servers = append(f.servers, server)
	if into != nil {
		*into = server
	}
	return listener.Addr().String(), nil
}

// WaitGroupsOpen waits until every zone has a permit for all its groups.
func (f *Fleet) WaitGroupsOpen(ctx context.Context) error {
	for {
		if f.complete(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the replica groups did not become complete")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (f *Fleet) complete(ctx context.Context) bool {
	for _, m := range f.Entries() {
		status, err := f.Operator(m).Status(ctx)
		if err != nil || len(status.Groups) < f.Plan.GroupsPerZone {
			return false
		}
		for _, g := range status.Groups {
			if !g.Valid || g.Cold {
				return false
			}
		}
	}
	return true
}

// Close stops all entries and stand-ins.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, m := range f.Entries() {
		wg.Go(m.Entry.Close)
	}
	wg.Wait()
	for _, server := range f.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(f.directory)
}

// GroupMembers returns the members of each replica group as the platform's
// table shows them.
func (f *Fleet) GroupMembers() map[string][]string {
	members := make(map[string][]string)
	for _, key := range f.Platform.Table.Keys(grouping.GroupPrefix) {
		row, err := grouping.DecodeGroup(platform.Row{Key: key, Value: f.Platform.Table.Value(key)})
		if err != nil {
			continue
		}
		for _, m := range row.Members {
			members[key] = append(members[key], m.Instance)
		}
	}
	return members
}
