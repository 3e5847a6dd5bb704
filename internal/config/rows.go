package config

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// Keys of the configuration's table rows and of its snapshot object.
const (
	HeadKey     = "config/head"
	deltaPrefix = "config/delta/"
	SnapshotKey = "config-snapshot"
)

// SnapshotInterval is the number of revisions between two snapshots.
const SnapshotInterval = 64

type headWire struct {
	Revision uint64 `json:"revision"`
	Attempt  string `json:"attempt"`
}

type snapshotWire struct {
	Revision uint64            `json:"revision"`
	Changes  []json.RawMessage `json:"changes"`
}

// DeltaKey returns the key of the row that holds the change of a revision. The
// revision is padded with zeros, so keys sort in order of revision.
func DeltaKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", deltaPrefix, revision)
}

// DecodeHead returns the revision stored in the head row.
func DecodeHead(row platform.Row) (uint64, error) {
	var w headWire
	err := json.Unmarshal(row.Value, &w)
	return w.Revision, errors.Wrap(err, "decode the configuration head")
}

// AcceptTransaction returns the transaction that commits the change as revision
// c.Revision, on the condition that the head row still has the given version. The
// row of the change is the first put, because it is read back to find out whether
// this write took effect.
func AcceptTransaction(c operator.Change, headVersion int64) platform.Transaction {
	head, err := json.Marshal(headWire{Revision: c.Revision, Attempt: c.Attempt})
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return platform.Transaction{
		Compares: []platform.Compare{{Key: HeadKey, Version: headVersion}},
		Puts: []platform.Put{
			{Key: DeltaKey(c.Revision), Value: operator.EncodeChange(c)},
			{Key: HeadKey, Value: head},
		},
	}
}

// EncodeSnapshot encodes the state as a snapshot object: its revision and the
// last change of each entity. Provisional orders are not included.
func EncodeSnapshot(s *State) []byte {
	w := snapshotWire{Revision: s.Revision()}
	for _, c := range s.Snapshot() {
		w.Changes = append(w.Changes, operator.EncodeChange(c))
	}
	encoded, err := json.Marshal(w)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return encoded
}

// DecodeSnapshot decodes the state from a snapshot object.
func DecodeSnapshot(body []byte) (*State, error) {
	var w snapshotWire
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(err, "decode the configuration snapshot")
	}
	encoded := make([][]byte, 0, len(w.Changes))
	for _, c := range w.Changes {
		encoded = append(encoded, c)
	}
	changes, err := DecodeChanges(encoded)
	if err != nil {
		return nil, err
	}
	return Restore(w.Revision, changes), nil
}

// EncodeChanges encodes changes in the format exchanged between peers.
func EncodeChanges(changes []operator.Change) [][]byte {
	encoded := make([][]byte, 0, len(changes))
	for _, c := range changes {
		encoded = append(encoded, operator.EncodeChange(c))
	}
	return encoded
}

// DecodeChanges decodes changes in the format exchanged between peers. It fails
// if one of them can't be decoded.
func DecodeChanges(encoded [][]byte) ([]operator.Change, error) {
	changes := make([]operator.Change, 0, len(encoded))
	for _, e := range encoded {
		c, err := operator.DecodeChange(e)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}
