package operator

import "time"

// Kind is the kind of thing that a change writes.
type Kind string

// The kinds, each with the field of Change that holds its value.
const (
	KindService      Kind = "service"
	KindOrganisation Kind = "organisation"
	KindZone         Kind = "zone"
	KindInstance     Kind = "instance"
	KindDefaults     Kind = "defaults"
	KindException    Kind = "exception"
)

// Change is one revision of the configuration: it writes or deletes one
// entity.
type Change struct {
	// Revision numbers the accepted changes from 1; 0 before acceptance.
	Revision uint64
	// Base is the revision that the author had read. A change is refused when
	// the same entity changed after it.
	Base uint64
	// Attempt tells this write from every other one.
	Attempt string
	Author  string
	// Reason tells the consortium why.
	Reason string
	At     time.Time
	Kind   Kind
	Name   string
	// Deleted removes the entity; else the field of Kind holds its new value.
	Deleted bool

	Service      *Service
	Organisation *Organisation
	Zone         *Zone
	Instance     *Instance
	Defaults     *Defaults
	Exception    *Exception
}
