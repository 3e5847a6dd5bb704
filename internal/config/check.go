package config

import (
	"fmt"
	"regexp"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Problem is a validation error of a change.
type Problem struct {
	// Field is the name of the invalid field in kebab case.
	Field   string
	Message string
}

// String formats the problem as "FIELD: MESSAGE".
func (p Problem) String() string {
	return p.Field + ": " + p.Message
}

var (
	validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)
	validHash = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check validates a change against the state and returns all problems found, nil
// if there are none. It doesn't look for conflicts; see Conflict.
func (s *State) Check(c operator.Change) []Problem {
	k := &checker{state: s}
	k.require(validName.MatchString(c.Name), "name", "use letters, digits, dots and hyphens")
	k.require(c.Author != "", "author", "name the author of the change")
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
		k.require(c.Zone != nil, "zone", "is missing")
		k.require(c.Reason != "", "reason", "state the reason; the whole consortium reads it")
	case operator.KindInstance:
		k.require(c.Instance != nil, "instance", "is missing")
	case operator.KindDefaults:
		k.defaults(c.Defaults)
	case operator.KindException:
		k.exception(c)
	default:
		k.require(false, "kind", fmt.Sprintf("%q is unknown", c.Kind))
	}
	return k.problems
}

// Conflict returns the last change of the entity that c changes, if its revision
// is later than c.Base, the revision that c's author last read.
func (s *State) Conflict(c operator.Change) (operator.Change, bool) {
	last, found := s.LastChange(c.Kind, c.Name)
	if !found || last.Revision <= c.Base {
		return operator.Change{}, false
	}
	return last, true
}

// checker collects the validation errors of one change.
type checker struct {
	state    *State
	problems []Problem
}

// require adds a problem unless the condition is true.
func (k *checker) require(condition bool, field, message string) {
	if !condition {
		k.problems = append(k.problems, Problem{Field: field, Message: message})
	}
}

// deletion checks a change that deletes an entity. An entity that was already
// deleted may be deleted again.
func (k *checker) deletion(c operator.Change) {
	_, found := k.state.LastChange(c.Kind, c.Name)
	k.require(found, "name", fmt.Sprintf("there is no %s %q", c.Kind, c.Name))
	k.require(c.Kind != operator.KindDefaults, "kind", "the defaults can't be deleted; edit them")
}

func (k *checker) service(s *operator.Service) {
	if s == nil {
		k.require(false, "service", "is missing")
		return
	}
	switch s.Kind {
	case operator.PlainService:
		k.require(len(s.Groups) == 0, "groups", "a plain service has no replica groups")
	case operator.ModelService:
		k.require(s.GroupSize > 0, "group-size", "must be at least 1")
		k.require(s.Slots > 0, "slots", "must be at least 1")
		k.require(s.ColdLimit > 0, "cold-limit", "must be at least 1")
		k.require(s.ColdLimit <= s.Slots, "cold-limit", "must not exceed slots")
	default:
		k.require(false, "kind", `must be "model" or "plain"`)
	}
	for _, z := range s.Groups {
		k.require(validName.MatchString(z.Zone), "groups", "a zone's name is missing")
		k.require(z.Count >= 0, "groups", "a count is negative")
	}
	target := s.Objectives.Target
	k.require(target >= 0 && target < 1, "target", "must be at least 0 and below 1")
}

func (k *checker) organisation(o *operator.Organisation) {
	if o == nil {
		k.require(false, "organisation", "is missing")
		return
	}
	k.require(len(o.KeyHashes) > 0, "key-hashes", "must have at least one key hash")
	for _, hash := range o.KeyHashes {
		k.require(validHash.MatchString(hash), "key-hashes", "must be SHA-256 hashes in hexadecimal")
	}
}

func (k *checker) defaults(d *operator.Defaults) {
	if d == nil {
		k.require(false, "defaults", "are missing")
		return
	}
	k.require(d.Weight > 0, "weight", "must be at least 1")
	k.require(d.MaxInFlight >= 0, "max-in-flight", "must be at least 0")
	k.require(d.RetryPercent >= 0 && d.RetryPercent <= 100, "retry-percent", "must be from 0 to 100")
	k.require(d.RequestTimeout > 0, "request-timeout", "must be longer than 0")
}

func (k *checker) exception(c operator.Change) {
	k.require(c.Reason != "", "reason", "state the reason; the whole consortium reads it")
	e := c.Exception
	if e == nil {
		k.require(false, "exception", "is missing")
		return
	}
	_, found := k.state.organisations[e.Organisation]
	k.require(found, "organisation", fmt.Sprintf("there is no organisation %q", e.Organisation))
	switch e.Setting {
	case operator.SettingWeight:
		k.require(e.Value > 0, "value", "must be at least 1")
	case operator.SettingMaxInFlight:
		k.require(e.Value >= 0, "value", "must be at least 0")
	default:
		k.require(false, "setting", `must be "weight" or "max-in-flight"`)
	}
}
