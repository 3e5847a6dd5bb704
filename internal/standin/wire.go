package standin

// The wire types of the etcd v3 JSON gateway, as the table stand-in serves it.
// They are deliberately not shared with the client, so that tests find mistakes
// in either side's format.

type rowWire struct {
	Key     []byte `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"mod_revision,string"`
}

type rangeRequestWire struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	// MinVersion excludes rows with a lower version.
	MinVersion int64 `json:"min_mod_revision,string"`
}

type rangeResponseWire struct {
	Header headerWire `json:"header"`
	Rows   []rowWire  `json:"kvs"`
}

type keyValueWire struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type operationWire struct {
	Put    *keyValueWire `json:"request_put"`
	Delete *keyValueWire `json:"request_delete_range"`
}

type compareWire struct {
	Key     []byte `json:"key"`
	Version int64  `json:"mod_revision,string"`
}

type txnRequestWire struct {
	Compares []compareWire   `json:"compare"`
	Success  []operationWire `json:"success"`
}

type headerWire struct {
	Revision int64 `json:"revision,string"`
}

type txnResponseWire struct {
	Header    headerWire `json:"header"`
	Succeeded bool       `json:"succeeded"`
}
