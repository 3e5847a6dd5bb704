package settings

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Default values of Limits, Platform and Grouping.
const (
	defaultBodyBytes       = 4 << 20
	defaultHeaderBytes     = 32 << 10
	defaultHeaderTimeout   = 5 * time.Second
	defaultBodyTimeout     = 30 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
	defaultQueueLength     = 256
	defaultQueueTimeout    = 10 * time.Second
	defaultWriteTimeout    = 20 * time.Second
	defaultShutdownTimeout = 5 * time.Minute
	defaultPlatformTimeout = 2 * time.Second
	defaultSparesPerDomain = 1
)

// Load reads and validates the settings file. If the file is invalid, the error is a
// findings.List with all findings, or with only the first syntax error.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings file")
	}
	return Parse(file, text)
}

// Parse parses and validates the text of a settings file. file is the name that
// findings state.
func Parse(file string, text []byte) (Settings, error) {
	r := &reader{file: file, text: text}
	value, ok := r.parse()
	if !ok {
		return Settings{}, r.findings.Err()
	}
	s := r.settings(newObject(r, value, ""))
	return s, r.findings.Err()
}

func (r *reader) settings(o *object) Settings {
	s := Settings{
		Name:     o.text("name", "", true),
		Zone:     o.text("zone", "", true),
		Caller:   r.listener(o.object("caller", true), false),
		Operator: r.listener(o.object("operator", true), true),
		Peer:     r.listener(o.object("peer", true), true),
		Seeds:    o.textList("seeds"),
		Platform: r.platform(o.object("platform", true)),
		Limits:   r.limits(o.object("limits", false)),
		Grouping: r.grouping(o.object("grouping", false)),
		LogLevel: o.text("log-level", "info", false),
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		r.addFinding(o.members["log-level"].StartOffset, "log-level is not a known level", `write "info", "warning" or "debug"`)
	}
	for _, name := range []string{"name", "zone"} {
		if strings.Contains(literal(o.members[name]).String(), "/") {
			r.addFinding(o.members[name].StartOffset, name+" contains a slash", "use letters, digits and hyphens")
		}
	}
	o.reportUnknown()
	return s
}

func (r *reader) listener(o *object, keyRequired bool) Listener {
	l := Listener{
		Address:         r.address(o, "address", true),
		Advertise:       r.address(o, "advertise", false),
		CertificateFile: r.existingFile(o, "tls-certificate-file", false),
		PrivateKeyFile:  r.existingFile(o, "tls-key-file", false),
		KeyFile:         r.existingFile(o, "key-file", keyRequired),
	}
	if o.has("tls-certificate-file") != o.has("tls-key-file") {
		r.addFinding(o.value.StartOffset, o.path+" has only one of the two TLS files",
			"set both tls-certificate-file and tls-key-file, or neither")
	}
	o.reportUnknown()
	return l
}

// address returns a member that is a host and port, or "" if it is absent. An
// invalid one is returned too, with a finding.
func (r *reader) address(o *object, name string, required bool) string {
	address := o.text(name, "", required)
	if address == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		r.addFinding(o.members[name].StartOffset, o.fullName(name)+" is not an address", `write it as "HOST:PORT"`)
	}
	return address
}

// existingFile returns a member that is the name of a file, or "" if it is absent.
// A name whose file can't be found is returned too, with a finding.
func (r *reader) existingFile(o *object, name string, required bool) string {
	file := o.text(name, "", required)
	if file == "" {
		return ""
	}
	if _, err := os.Stat(file); err != nil {
		r.addFinding(o.members[name].StartOffset, o.fullName(name)+": the file "+file+" can't be read",
			"create it, or correct its name")
	}
	return file
}

func (r *reader) platform(o *object) Platform {
	p := Platform{
		TableURL:     r.url(o, "table-url"),
		ObjectsURL:   r.url(o, "objects-url"),
		InstancesURL: r.url(o, "instances-url"),
		Timeout:      o.duration("timeout", defaultPlatformTimeout),
	}
	o.reportUnknown()
	return p
}

// url returns a member that is an HTTP URL, without a trailing slash.
func (r *reader) url(o *object, name string) string {
	url := o.text(name, "", true)
	if url == "" {
		return ""
	}
	if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
		r.addFinding(o.members[name].StartOffset, o.fullName(name)+" is not a URL", `begin it with "http://" or "https://"`)
	}
	return strings.TrimSuffix(url, "/")
}

func (r *reader) limits(o *object) Limits {
	l := Limits{
		BodyBytes:       o.integer("body-bytes", defaultBodyBytes, 1),
		HeaderBytes:     o.integer("header-bytes", defaultHeaderBytes, 1),
		HeaderTimeout:   o.duration("header-timeout", defaultHeaderTimeout),
		BodyTimeout:     o.duration("body-timeout", defaultBodyTimeout),
		IdleTimeout:     o.duration("idle-timeout", defaultIdleTimeout),
		QueueLength:     o.integer("queue-length", defaultQueueLength, 0),
		QueueTimeout:    o.duration("queue-timeout", defaultQueueTimeout),
		WriteTimeout:    o.duration("write-timeout", defaultWriteTimeout),
		ShutdownTimeout: o.duration("shutdown-timeout", defaultShutdownTimeout),
		Clients:         r.clientLimits(o),
	}
	o.reportUnknown()
	return l
}

func (r *reader) grouping(o *object) Grouping {
	g := Grouping{
		DowntimeWeight:  o.number("downtime-weight", 1),
		StrandedWeight:  o.number("stranded-weight", 1),
		SparesPerDomain: o.integer("spares-per-domain", defaultSparesPerDomain, 0),
	}
	o.reportUnknown()
	return g
}

// DefaultLimits returns the limits of a settings file without limits.
func DefaultLimits() Limits {
	r := &reader{}
	return r.limits(&object{reader: r, used: make(map[string]bool)})
}
