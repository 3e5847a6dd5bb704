package operator

import "time"

// Kind is the kind of entity that a change writes.
type Kind string

// The kinds of entities. The Change field of the same name holds the
// entity's value.
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
	// Revision is the sequence number of the accepted change, from 1; 0 before
	// it is accepted.
	Revision uint64
	// Base is the revision that the change is based on. The change is rejected
	// if the entity was changed after that revision.
	Base uint64
	// Attempt is a unique identifier of this write.
	Attempt string
	Author  string
	// Reason explains the change to the consortium. Changes of a zone or of an
	// exception must have one.
	Reason string
	At     time.Time
	Kind   Kind
	Name   string
	// Deleted deletes the entity; otherwise the field for Kind holds its new
	// value.
	Deleted bool

	Service      *Service
	Organisation *Organisation
	Zone         *Zone
	Instance     *Instance
	Defaults     *Defaults
	Exception    *Exception
}
