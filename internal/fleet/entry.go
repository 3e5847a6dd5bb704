package fleet

import (
	"net/http"
	"path/filepath"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/entry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Entry is a running entry of the fleet.
type Entry struct {
	Name  string
	Zone  string
	Entry *entry.Entry
	// The addresses are copied, since a stopped entry has none.
	CallerAddress   string
	OperatorAddress string
}

// StartEntry starts an entry in the zone.
func (f *Fleet) StartEntry(name, zone string) (*Entry, error) {
	f.Network.AssignZone(name, zone)
	opts := append([]entry.Option{
		entry.WithLogger(f.logger), entry.WithDial(f.Network.Dialer(name)),
		entry.WithListen(f.Network.Listener(name)),
	}, f.Plan.EntryOptions...)
	e, err := entry.New(f.entrySettings(name, zone), opts...)
	if err != nil {
		return nil, err
	}
	m := &Entry{
		Name: name, Zone: zone, Entry: e,
		CallerAddress: e.CallerAddress(), OperatorAddress: e.OperatorAddress(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, m)
	return m, nil
}

func (f *Fleet) entrySettings(name, zone string) settings.Settings {
	base := "http://" + f.platformAddress
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
func (f *Fleet) Entries() []*Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Entry(nil), f.entries...)
}

// Remove removes an entry from the list.
func (f *Fleet) Remove(m *Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.entries {
		if other == m {
			f.entries = append(f.entries[:i], f.entries[i+1:]...)
			return
		}
	}
}

// Client returns an HTTP client for a caller in the zone.
func (f *Fleet) Client(zone string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: f.Network.Dialer(zone), MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// Operator returns a client for an entry's operator API.
func (f *Fleet) Operator(m *Entry) *operator.Client {
	return operator.NewClient("http://"+m.OperatorAddress, operatorKey, operator.WithHTTPClient(f.Client(m.Zone)))
}
