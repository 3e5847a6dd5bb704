package config

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// Keys of the configuration's rows and of its snapshot object.
const (
	HeadKey     = "config/head"
	deltaPrefix = "config/delta/"
	SnapshotKey = "config-snapshot"
)

// SnapshotInterval is how many revisions lie between two snapshots.
const SnapshotInterval = 64

type headWire struct {
	Revision uint64 `json:"revision"`
	Attempt  string `json:"attempt"`
}

type snapshotWire struct {
	Revision uint64            `json:"revision"`
	Changes  []json.RawMessage `json:"changes"`
}

// DeltaKey returns the key of a revision's row; keys order as revisions do.
func DeltaKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", deltaPrefix, revision)
}

// DecodeHead returns the revision that the head row names.
func DecodeHead(row platform.Row) (uint64, error) {
	var w headWire
	err := json.Unmarshal(row.Value, &w)
	return w.Revision, errors.Wrap(err, "decode the configuration's head")
}

// AcceptTransaction returns the transaction that makes the change the next revision,
// provided that the head still has the version. The change's row comes first,
// so that reading it back tells whether this very write took effect.
func AcceptTransaction(c operator.Change, headVersion int64) platform.Transaction {
	head, err := json.Marshal(headWire{Revision: c.Revision, Attempt: c.Attempt})
	if err != nil {
		panic(err) // plain data always encodes
	}
	return platform.Transaction{
		Compares: []platform.Compare{{Key: HeadKey, Version: headVersion}},
		Puts: []platform.Put{
			{Key: DeltaKey(c.Revision), Value: operator.EncodeChange(c)},
			{Key: HeadKey, Value: head},
		},
	}
}

// EncodeSnapshot returns the state as an object's body.
func EncodeSnapshot(s *State) []byte {
	w := snapshotWire{Revision: s.Revision()}
	for _, c := range s.Snapshot() {
		w.Changes = append(w.Changes, operator.EncodeChange(c))
	}
	encoded, err := json.Marshal(w)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return encoded
}

// DecodeSnapshot reads a state from an object's body.
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

// EncodeChanges returns the changes as peers exchange them.
func EncodeChanges(changes []operator.Change) [][]byte {
	encoded := make([][]byte, 0, len(changes))
	for _, c := range changes {
		encoded = append(encoded, operator.EncodeChange(c))
	}
	return encoded
}

// DecodeChanges reads changes as peers exchange them.
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
