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

	"github.com/hibiscuspulley/hibiscuspulley/internal/entry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// PlatformZone is the place of the platform's stand-in in the network.
const PlatformZone = "platform"

const (
	operatorKey = "operator-key-of-the-fleet"
	peerKey     = "peer-key-of-the-whole-fleet"
	anyPort     = "127.0.0.1:0"
)

// Instance is one instance of the fleet with its backend server.
type Instance struct {
	Name    string
	Address string
	Zone    string
	Domain  string
	// Engine is nil for an instance of a plain service.
	Engine  *standin.Engine
	Service *standin.Service

	fences bool
	server *http.Server
}

// Member is one entry of the fleet.
type Member struct {
	Name  string
	Zone  string
	Entry *entry.Entry
	// Addresses are kept here, since a stopped entry has none.
	CallerAddress   string
	OperatorAddress string
}

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

func (f *Fleet) startInstances() error {
	number := 0
	for _, zone := range f.Plan.Zones {
		for d := range f.Plan.DomainsPerZone {
			for i := range f.Plan.InstancesPerDomain {
				name := fmt.Sprintf("engine-%s-%d-%d", zone, d, i)
				domain := fmt.Sprintf("domain-%s-%d", zone, d)
				if err := f.startEngine(name, zone, domain, f.Plan.Fences(number)); err != nil {
					return err
				}
				number++
			}
		}
		if err := f.startService("docking-"+zone, zone); err != nil {
			return err
		}
	}
	f.Publish()
	return nil
}

func (f *Fleet) startEngine(name, zone, domain string, fences bool) error {
	i := &Instance{Name: name, Zone: zone, Domain: domain, fences: fences}
	i.Engine = standin.NewEngine(f.Plan.Speed, fences)
	i.Engine.MemberMissing = func(address, group string, generation uint64) bool {
		other := f.At(address)
		return other == nil || other.Engine.Missing(group, generation)
	}
	address, err := f.serve(zone, i.Engine, &i.server)
	i.Address = address
	f.add(i)
	return err
}

func (f *Fleet) startService(name, zone string) error {
	i := &Instance{Name: name, Zone: zone, Service: standin.NewService(f.Records)}
	address, err := f.serve(zone, i.Service, &i.server)
	i.Address = address
	f.add(i)
	return err
}

func (f *Fleet) add(i *Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	f.listed[i.Name] = true
}

// At returns the instance with the address, nil for none.
func (f *Fleet) At(address string) *Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		if i.Address == address {
			return i
		}
	}
	return nil
}

// Instances returns all instances.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Instance(nil), f.instances...)
}

// Engines returns the instances with engines.
func (f *Fleet) Engines() []*Instance {
	var engines []*Instance
	for _, i := range f.Instances() {
		if i.Engine != nil {
			engines = append(engines, i)
		}
	}
	return engines
}

// Leave marks an instance as leaving in the platform's list.
func (f *Fleet) Leave(name string) {
	f.mu.Lock()
	f.leaving[name] = true
	f.mu.Unlock()
	f.Publish()
}

// Unlist takes an instance out of the platform's list.
func (f *Fleet) Unlist(name string) {
	f.mu.Lock()
	delete(f.listed, name)
	f.mu.Unlock()
	f.Publish()
}

// Publish writes the platform's instance list.
func (f *Fleet) Publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []standin.InstanceLabels
	for _, i := range f.instances {
		if !f.listed[i.Name] {
			continue
		}
		labels := map[string]string{"instance": i.Name, "zone": i.Zone, "fabric_domain": i.Domain}
		if i.Service != nil {
			labels["service"] = ServiceName
		}
		if i.fences {
			labels["checks_fencing"] = "true"
		}
		if f.leaving[i.Name] {
			labels["leaving"] = "true"
		}
		list = append(list, standin.InstanceLabels{Targets: []string{i.Address}, Labels: labels})
	}
	f.Platform.SetInstances(list)
}

// StartEntry starts an entry in the zone.
func (f *Fleet) StartEntry(name, zone string) (*Member, error) {
	f.Network.Place(name, zone)
	opts := append([]entry.Option{
		entry.WithLogger(f.logger), entry.WithDial(f.Network.Dialer(name)),
		entry.WithListen(f.Network.Listener(name)),
	}, f.Plan.EntryOptions...)
	e, err := entry.New(f.entrySettings(name, zone), opts...)
	if err != nil {
		return nil, err
	}
	m := &Member{
		Name: name, Zone: zone, Entry: e,
		CallerAddress: e.CallerAddress(), OperatorAddress: e.OperatorAddress(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, m)
	return m, nil
}

func (f *Fleet) entrySettings(name, zone string) settings.Settings {
	base := "http://" + f.platformAt
	return settings.Settings{
		Name: name, Zone: zone,
		Caller:   settings.Listener{Address: anyPort},
		Operator: settings.Listener{Address: anyPort, KeyFile: filepath.Join(f.directory, "operator-key")},
		Peer:     settings.Listener{Address: anyPort, KeyFile: filepath.Join(f.directory, "peer-key")},
		Platform: settings.Platform{
			TableURL: base, ObjectsURL: base + "/objects", InstancesURL: base + "/instances", Timeout: time.Second,
		},
		Seeds: f.Seeds, Limits: f.Plan.Limits, Grouping: f.Plan.Grouping,
	}
}

// Entries returns the entries that have not been removed.
func (f *Fleet) Entries() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.entries...)
}

// Remove forgets an entry that has been stopped.
func (f *Fleet) Remove(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.entries {
		if other == m {
			f.entries = append(f.entries[:i], f.entries[i+1:]...)
			return
		}
	}
}

// Client returns an HTTP client of a caller in the zone.
func (f *Fleet) Client(zone string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: f.Network.Dialer(zone), MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// Operator returns a client of an entry's operators' API.
func (f *Fleet) Operator(m *Member) *operator.Client {
	return operator.NewClient("http://"+m.OperatorAddress, operatorKey, operator.WithHTTPClient(f.Client(m.Zone)))
}

// Key returns the bearer key of an organisation, counted from 0.
func Key(organisation int) string {
	return fmt.Sprintf("key-of-organisation-%d", organisation)
}

// OrganisationName returns the name of an organisation, counted from 0.
func OrganisationName(organisation int) string {
	return fmt.Sprintf("organisation-%d", organisation)
}

// configure puts the fleet's services and organisations into force.
func (f *Fleet) configure(ctx context.Context) error {
	client := f.Operator(f.Entries()[0])
	for _, change := range f.changes() {
		change.Author = Author
		if _, err := client.Apply(ctx, change); err != nil {
			return errors.Wrapf(err, "configure %s %s", change.Kind, change.Name)
		}
	}
	return nil
}

func (f *Fleet) changes() []operator.Change {
	model := &operator.Service{
		Name: ModelName, Kind: operator.ModelService, GroupSize: f.Plan.GroupSize,
		Slots: f.Plan.Speed.Slots, ColdLimit: f.Plan.Speed.ColdLimit,
		Objectives: operator.Objectives{FirstToken: 460 * time.Millisecond, BetweenTokens: 30 * time.Millisecond, Target: 0.95},
	}
	for _, zone := range f.Plan.Zones {
		model.Groups = append(model.Groups, operator.ZoneGroups{Zone: zone, Count: f.Plan.GroupsPerZone})
	}
	plain := &operator.Service{Name: ServiceName, Kind: operator.PlainService}
	changes := []operator.Change{
		{Kind: operator.KindService, Name: ModelName, Service: model},
		{Kind: operator.KindService, Name: ServiceName, Service: plain},
	}
	for i := range f.Plan.Organisations {
		name := OrganisationName(i)
		changes = append(changes, operator.Change{
			Kind: operator.KindOrganisation, Name: name,
			Organisation: &operator.Organisation{Name: name, KeyHashes: []string{operator.HashKey(Key(i))}},
		})
	}
	return changes
}

// WaitComplete waits until every zone has a permit for all its groups.
func (f *Fleet) WaitComplete(ctx context.Context) error {
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

// SetZoneOut takes a zone out or brings it back, and tells the stand-ins, so
// that they count what arrives there.
func (f *Fleet) SetZoneOut(ctx context.Context, m *Member, zone string, out bool, reason string) error {
	client := f.Operator(m)
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	_, err = client.Apply(ctx, operator.Change{
		Base: configuration.Revision, Author: Author, Reason: reason,
		Kind: operator.KindZone, Name: zone, Zone: &operator.Zone{Name: zone, Out: out},
	})
	if err != nil {
		return err
	}
	for _, i := range f.Engines() {
		if i.Zone == zone {
			i.Engine.SetZoneOut(out)
		}
	}
	return nil
}

// Counts sums what the engines have counted.
func (f *Fleet) Counts() standin.EngineCounts {
	var sum standin.EngineCounts
	for _, i := range f.Engines() {
		c := i.Engine.Counts()
		sum.Requests += c.Requests
		sum.ColdLimitExceeded += c.ColdLimitExceeded
		sum.SentToIncompleteGroup += c.SentToIncompleteGroup
		sum.SentToZoneOut += c.SentToZoneOut
		sum.SentToLeaving += c.SentToLeaving
		sum.StaleOrders += c.StaleOrders
		sum.TokensPrefilled += c.TokensPrefilled
	}
	return sum
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
