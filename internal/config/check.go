package config

import (
	"fmt"
	"regexp"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Problem is one thing wrong with a change.
type Problem struct {
	// Field names the change's field in kebab case.
	Field   string
	Message string
}

// String returns the problem as FIELD: message.
func (p Problem) String() string {
	return p.Field + ": " + p.Message
}

var (
	validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)
	validHash = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check returns everything wrong with a change against the state.
func (s *State) Check(c operator.Change) []Problem {
	k := &checker{state: s}
	k.must(validName.MatchString(c.Name), "name", "use letters, digits, dots and hyphens")
	k.must(c.Author != "", "author", "say who makes the change")
	if c.Deleted {
		k.deletion(c)
		return k.problems
	}
	switch c.Kind {
	case operator.KindService:
		k.service(c.Service)
	case operator.KindOrganisation:
		k.organisation(c.Organisation)
	case operator.KindZone:
		k.must(c.Zone != nil, "zone", "is missing")
		k.must(c.Reason != "", "reason", "state the reason; the whole consortium reads it")
	case operator.KindInstance:
		k.must(c.Instance != nil, "instance", "is missing")
	case operator.KindDefaults:
		k.defaults(c.Defaults)
	case operator.KindException:
		k.exception(c)
	default:
		k.must(false, "kind", fmt.Sprintf("%q is unknown", c.Kind))
	}
	return k.problems
}

// Conflict returns the change that wrote the same entity after c's author
// last read the configuration, if there is one.
func (s *State) Conflict(c operator.Change) (operator.Change, bool) {
	last, found := s.LastChange(c.Kind, c.Name)
	if !found || last.Revision <= c.Base {
		return operator.Change{}, false
	}
	return last, true
}

type checker struct {
	state    *State
	problems []Problem
}

func (k *checker) must(holds bool, field, message string) {
	if !holds {
		k.problems = append(k.problems, Problem{Field: field, Message: message})
	}
}

func (k *checker) deletion(c operator.Change) {
	_, found := k.state.LastChange(c.Kind, c.Name)
	k.must(found, "name", fmt.Sprintf("there is no %s %q", c.Kind, c.Name))
	k.must(c.Kind != operator.KindDefaults, "kind", "the defaults can't be deleted; edit them")
}

func (k *checker) service(s *operator.Service) {
	if s == nil {
		k.must(false, "service", "is missing")
		return
	}
	switch s.Kind {
	case operator.PlainService:
		k.must(len(s.Groups) == 0, "groups", "a plain service has no replica groups")
	case operator.ModelService:
		k.must(s.GroupSize > 0, "group-size", "must be at least 1")
		k.must(s.Slots > 0, "slots", "must be at least 1")
		k.must(s.ColdLimit > 0, "cold-limit", "must be at least 1")
		k.must(s.ColdLimit <= s.Slots, "cold-limit", "must not pass slots")
	default:
		k.must(false, "kind", `must be "model" or "plain"`)
	}
	for _, z := range s.Groups {
		k.must(validName.MatchString(z.Zone), "groups", "a zone's name is missing")
		k.must(z.Count >= 0, "groups", "a count is below 0")
	}
	target := s.Objectives.Target
	k.must(target >= 0 && target < 1, "target", "must be at least 0 and below 1")
}

func (k *checker) organisation(o *operator.Organisation) {
	if o == nil {
		k.must(false, "organisation", "is missing")
		return
	}
	k.must(len(o.KeyHashes) > 0, "key-hashes", "give at least one key")
	for _, hash := range o.KeyHashes {
		k.must(validHash.MatchString(hash), "key-hashes", "must be SHA-256 hashes in hexadecimal")
	}
}

func (k *checker) defaults(d *operator.Defaults) {
	if d == nil {
		k.must(false, "defaults", "are missing")
		return
	}
	k.must(d.Weight > 0, "weight", "must be at least 1")
	k.must(d.MaxInFlight >= 0, "max-in-flight", "must be at least 0")
	k.must(d.RetryPercent >= 0 && d.RetryPercent <= 100, "retry-percent", "must be from 0 to 100")
	k.must(d.RequestTimeout > 0, "request-timeout", "must be longer than 0")
}

func (k *checker) exception(c operator.Change) {
	k.must(c.Reason != "", "reason", "state the reason; the whole consortium reads it")
	e := c.Exception
	if e == nil {
		k.must(false, "exception", "is missing")
		return
	}
	_, found := k.state.organisations[e.Organisation]
	k.must(found, "organisation", fmt.Sprintf("there is no organisation %q", e.Organisation))
	switch e.Setting {
	case operator.SettingWeight:
		k.must(e.Value > 0, "value", "must be at least 1")
	case operator.SettingMaxInFlight:
		k.must(e.Value >= 0, "value", "must be at least 0")
	default:
		k.must(false, "setting", `must be "weight" or "max-in-flight"`)
	}
}
