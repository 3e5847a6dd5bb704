package processfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

const (
	// OperatorKey is the key of the operators' listeners.
	OperatorKey = "operator-key-of-the-process-fleet"
	// PeerKey is the key of the listeners for peers.
	PeerKey = "peer-key-of-the-process-fleet"
	// CallerKey is the bearer key of the fleet's only organisation.
	CallerKey = "caller-key-of-the-process-fleet"
	// Model is the name of the fleet's model service.
	Model = "yard-notes"
	// Service is the name of the fleet's plain service.
	Service = "docking"
)

// Plan is the configuration of a fleet.
type Plan struct {
	Zones          []string
	EntriesPerZone int
	EnginesPerZone int
	GroupsPerZone  int
	GroupSize      int
	Slots          int
	ColdLimit      int
	// EngineFlags are additional flags for the engine stand-ins.
	EngineFlags []string
	// EntryMemoryMB is the limit of the instance's memory in the entries' settings, and
	// EntryDescriptors the operating system's limit for their processes. 0 leaves the
	// default.
	EntryMemoryMB    int
	EntryDescriptors int
	// CertificateFile and PrivateKeyFile enable TLS on the listener for callers.
	CertificateFile string
	PrivateKeyFile  string
}

// Instance is the process of a stand-in.
type Instance struct {
	*Process
	Address string
	Zone    string
	// Service is empty for engines.
	Service string
}

// Entry is the process of an entry.
type Entry struct {
	*Process
	Zone     string
	Caller   string
	Operator string
	Peer     string
}

// Fleet is a running fleet of processes.
type Fleet struct {
	Plan      Plan
	Platform  *Instance
	Instances []*Instance
	Entries   []*Entry

	directory string
}

var (
	addressPattern  = regexp.MustCompile(`(?m)^(127\.0\.0\.1:\d+)$`)
	startedPattern  = regexp.MustCompile(`(?m)^.*event=100 .*$`)
	listenerPattern = regexp.MustCompile(`(callers|operators|peers)="([^"]+)"`)
)

// Start builds the programs into the directory and starts the fleet there.
func Start(ctx context.Context, directory string, plan Plan) (*Fleet, error) {
	f := &Fleet{Plan: plan, directory: directory}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.build(ctx); err != nil {
		return err
	}
	if err := f.writeKeys(); err != nil {
		return err
	}
	if err := f.startStandIns(ctx); err != nil {
		return err
	}
	for _, zone := range f.Plan.Zones {
		for i := range f.Plan.EntriesPerZone {
			if _, err := f.StartEntry(ctx, fmt.Sprintf("entry-%s%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	return f.configure(ctx)
}

func (f *Fleet) build(ctx context.Context) error {
	const module = "github.com/hibiscuspulley/hibiscuspulley/cmd/"
	cmd := exec.CommandContext(ctx, "go", "build", "-o", f.directory+"/", module+"hibiscuspulley", module+"stand-in")
	output, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build the programs: %s", output)
}

func (f *Fleet) path(name string) string { return filepath.Join(f.directory, name) }

func (f *Fleet) startStandIns(ctx context.Context) error {
	var err error
	if f.Platform, err = f.startStandIn(ctx, "platform", "", "", "platform", "--address", "127.0.0.1:0"); err != nil {
		return err
	}
	for _, zone := range f.Plan.Zones {
		for i := range f.Plan.EnginesPerZone {
			args := append([]string{"engine", "--addresses", "127.0.0.1:0"}, f.Plan.EngineFlags...)
			if err := f.addInstance(ctx, fmt.Sprintf("engine-%s-%d", zone, i), zone, "", args); err != nil {
				return err
			}
		}
		if err := f.addInstance(ctx, "docking-"+zone, zone, Service, []string{"service"}); err != nil {
			return err
		}
	}
	return f.PublishInstances(ctx)
}

func (f *Fleet) addInstance(ctx context.Context, name, zone, service string, args []string) error {
	instance, err := f.startStandIn(ctx, name, zone, service, args...)
	if err == nil {
		f.Instances = append(f.Instances, instance)
	}
	return err
}

func (f *Fleet) startStandIn(ctx context.Context, name, zone, service string, args ...string) (*Instance, error) {
	p, err := start(name, 0, f.path("stand-in"), args...)
	if err != nil {
		return nil, err
	}
	match, err := p.WaitForOutput(ctx, addressPattern)
	if err != nil {
		p.Kill()
		return nil, err
	}
	return &Instance{Process: p, Address: match[1], Zone: zone, Service: service}, nil
}

// PublishInstances writes the platform's instance list: all instances whose
// process is running.
func (f *Fleet) PublishInstances(ctx context.Context) error {
	var list []standin.InstanceLabels
	for _, i := range f.Instances {
		select {
		case <-i.done:
			continue
		default:
		}
		labels := map[string]string{
			"instance": i.Name, "zone": i.Zone, "fabric_domain": "domain-" + i.Zone, "checks_fencing": "true",
		}
		if i.Service != "" {
			labels["service"] = i.Service
		}
		list = append(list, standin.InstanceLabels{Targets: []string{i.Address}, Labels: labels})
	}
	return f.Control(ctx, f.Platform, "/control/instances", list)
}

// Control sends a JSON body to a control endpoint of a stand-in.
func (f *Fleet) Control(ctx context.Context, i *Instance, path string, body any) error {
	request, err := sling.New().Put("http://" + i.Address + path).BodyJSON(body).Request()
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Wrapf(err, "control %s", i.Name)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("control %s: %s", i.Name, response.Status)
	}
	return nil
}

// Counts reads a stand-in's counters into target.
func (f *Fleet) Counts(ctx context.Context, i *Instance, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Address+"/control/counts", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "read the counters of %s", i.Name)
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(target)
}

// StartEntry starts the process of an entry.
func (f *Fleet) StartEntry(ctx context.Context, name, zone string) (*Entry, error) {
	file := f.path(name + ".json")
	if err := os.WriteFile(file, []byte(f.settings(name, zone)), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings file")
	}
	p, err := start(name, f.Plan.EntryDescriptors, f.path("hibiscuspulley"), "serve", "--settings", file)
	if err != nil {
		return nil, err
	}
	line, err := p.WaitForOutput(ctx, startedPattern)
	if err != nil {
		p.Kill()
		return nil, err
	}
	e := &Entry{Process: p, Zone: zone}
	for _, match := range listenerPattern.FindAllStringSubmatch(line[0], -1) {
		switch match[1] {
		case "callers":
			e.Caller = "http://" + match[2]
		case "operators":
			e.Operator = "http://" + match[2]
		case "peers":
			e.Peer = match[2]
		}
	}
	f.Entries = append(f.Entries, e)
	return e, nil
}

// Remove removes an entry whose process has ended from the list.
func (f *Fleet) Remove(e *Entry) {
	for i, other := range f.Entries {
		if other == e {
			f.Entries = append(f.Entries[:i], f.Entries[i+1:]...)
			return
		}
	}
}

// Close kills all processes of the fleet.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, i := range f.Instances {
		i.Kill()
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
}
