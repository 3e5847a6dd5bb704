package processfleet

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

func (f *Fleet) writeKeys() error {
	for name, key := range map[string]string{"operator.key": OperatorKey, "peer.key": PeerKey, "caller.key": CallerKey} {
		if err := os.WriteFile(f.path(name), []byte(key), 0o600); err != nil {
			return errors.Wrap(err, "write key file")
		}
	}
	return nil
}

func (f *Fleet) settings(name, zone string) string {
	text := `{
	"name": "NAME", "zone": "ZONE",
	"caller": {"address": "127.0.0.1:0"TLS},
	"operator": {"address": "127.0.0.1:0", "key-file": "DIRECTORY/operator.key"},
	"peer": {"address": "127.0.0.1:0", "key-file": "DIRECTORY/peer.key"},
	"platform": {
		"table-url": "http://PLATFORM", "objects-url": "http://PLATFORM/objects",
		"instances-url": "http://PLATFORM/instances", "timeout": "1s",
	},
	"limits": {LIMITS},
}`
	certificate, limits := "", ""
	if f.Plan.CertificateFile != "" {
		certificate = fmt.Sprintf(`, "tls-certificate-file": %q, "tls-key-file": %q`, f.Plan.CertificateFile, f.Plan.PrivateKeyFile)
	}
	if f.Plan.EntryMemoryMB > 0 {
		limits = fmt.Sprintf(`"memory-mb": %d`, f.Plan.EntryMemoryMB)
	}
	return strings.NewReplacer("NAME", name, "ZONE", zone, "DIRECTORY", f.directory, "PLATFORM", f.Platform.Address,
		"TLS", certificate, "LIMITS", limits).Replace(text)
}

// Client returns a client for an entry's operator API.
func (f *Fleet) Client(e *Entry) *operator.Client {
	return operator.NewClient(e.Operator, OperatorKey)
}

func (f *Fleet) configure(ctx context.Context) error {
	model := &operator.Service{
		Name: Model, Kind: operator.ModelService, GroupSize: f.Plan.GroupSize,
		Slots: f.Plan.Slots, ColdLimit: f.Plan.ColdLimit,
	}
	for _, zone := range f.Plan.Zones {
		model.Groups = append(model.Groups, operator.ZoneGroups{Zone: zone, Count: f.Plan.GroupsPerZone})
	}
	client := f.Client(f.Entries[0])
	for _, change := range []operator.Change{
		{Kind: operator.KindService, Name: Model, Service: model},
		{Kind: operator.KindService, Name: Service, Service: &operator.Service{Name: Service, Kind: operator.PlainService}},
		{Kind: operator.KindOrganisation, Name: "tester", Organisation: &operator.Organisation{
			Name: "tester", KeyHashes: []string{operator.HashKey(CallerKey)},
		}},
	} {
		change.Author = "tests"
		if _, err := client.Apply(ctx, change); err != nil {
			return err
		}
	}
	return nil
}
