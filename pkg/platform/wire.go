package platform

// Wire types of the etcd v3 JSON gateway. The gateway encodes 64-bit integers as
// strings and bytes as base64.

type rangeRequestWire struct {
	Key        []byte `json:"key"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	MinVersion int64  `json:"min_mod_revision,string,omitempty"`
}

type rowWire struct {
	Key     []byte `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"mod_revision,string"`
}

type rangeResponseWire struct {
	Header headerWire `json:"header"`
	Rows   []rowWire  `json:"kvs"`
}

type compareWire struct {
	Key     []byte `json:"key"`
	Target  string `json:"target"`
	Result  string `json:"result"`
	Version int64  `json:"mod_revision,string"`
}

type putWire struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type deleteWire struct {
	Key []byte `json:"key"`
}

type operationWire struct {
	Put    *putWire    `json:"request_put,omitempty"`
	Delete *deleteWire `json:"request_delete_range,omitempty"`
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

func encodeTransaction(txn Transaction) txnRequestWire {
	var w txnRequestWire
	for _, c := range txn.Compares {
		w.Compares = append(w.Compares, compareWire{
			Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", Version: c.Version,
		})
	}
	for _, p := range txn.Puts {
		put := &putWire{Key: []byte(p.Key), Value: p.Value}
		w.Success = append(w.Success, operationWire{Put: put})
	}
	for _, key := range txn.Deletes {
		w.Success = append(w.Success, operationWire{Delete: &deleteWire{Key: []byte(key)}})
	}
	return w
}

func decodeRows(wires []rowWire) []Row {
	rows := make([]Row, 0, len(wires))
	for _, w := range wires {
		rows = append(rows, Row{Key: string(w.Key), Value: w.Value, Version: w.Version})
	}
	return rows
}
