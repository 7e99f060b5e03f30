package wire

import "encoding/json"

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key         string          `json:"path"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`  // revision of the key's last change
	LeaseID     uint64          `json:"ticket"` // 0: none
}

// RangeResponse is a page of a listing of the keys with a prefix, ordered by key.
type RangeResponse struct {
	Items    []KeyValue `json:"items"`
	More     bool       `json:"more"`
	Revision uint64     `json:"generation"`
}

// StoreRevision returns the store's revision at the time of the response.
func (response *RangeResponse) StoreRevision() uint64 { return response.Revision }

// Compare is a condition of a transaction: the key's mod revision must be equal to this one.
// 0 means that the key must not exist.
type Compare struct {
	Key         string `json:"path"`
	ModRevision uint64 `json:"stamp"`
}

// Operation is a put or a delete, in a transaction or as an event of a watch.
type Operation struct {
	Put         string          `json:"put,omitempty"`
	Delete      string          `json:"remove,omitempty"`
	Value       json.RawMessage `json:"data,omitempty"`
	LeaseID     uint64          `json:"ticket,omitempty"`
	ModRevision uint64          `json:"stamp,omitempty"` // set in events only
}

// Txn is a transaction: if all compares succeed, all operations are applied, else none.
type Txn struct {
	Compares   []Compare   `json:"guards"`
	Operations []Operation `json:"apply"`
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"generation"`
	FailedKeys []string `json:"failed"` // keys whose compares failed; empty: it was committed
}

// StoreRevision returns the store's revision at the time of the response.
func (response *TxnResponse) StoreRevision() uint64 { return response.Revision }

// Lease is the request for a lease, with its time to live, and the response, with its ID.
type Lease struct {
	TTLMillis int64  `json:"life_ms,omitempty"`
	ID        uint64 `json:"ticket,omitempty"`
}

// WatchResponse holds the changes after the revision that a watch started from.
type WatchResponse struct {
	Revision uint64      `json:"generation"`
	Events   []Operation `json:"log"`
}

// StoreRevision returns the store's revision at the time of the response.
func (response *WatchResponse) StoreRevision() uint64 { return response.Revision }
