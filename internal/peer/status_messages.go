package peer

import (
	"time"

	"rillflow/internal/codec"
)

// Ping is the status that a controller sends to its peers.
type Ping struct {
	Node         string        `json:"Node"`
	Epoch        uint64        `json:"Epoch"`    // highest epoch known
	Leader       string        `json:"Leader"`   // leader in that epoch
	ShardOwners  []string      `json:"Parts"`    // shard owners in that epoch
	StoreSilence time.Duration `json:"StateAge"` // time since the store last answered this controller
}

func (ping *Ping) encode() []byte {
	var encoder codec.Encoder
	encoder.Str(ping.Node)
	encoder.Uint(ping.Epoch)
	encoder.Str(ping.Leader)
	encoder.Strs(ping.ShardOwners)
	encoder.Int(int64(ping.StoreSilence))
	return encoder.B
}

func decodePing(b []byte) (ping Ping, err error) {
	decoder := codec.Decoder{B: b}
	ping = Ping{
		Node: decoder.Str(), Epoch: decoder.Uint(), Leader: decoder.Str(), ShardOwners: decoder.Strs(),
		StoreSilence: time.Duration(decoder.Int()),
	}
	return ping, decoder.Done()
}

// Reachability reports how well workers reach a controller.
type Reachability struct {
	SinceHeartbeat time.Duration `json:"Age"`  // time since a worker last reached this controller
	Isolated       bool          `json:"Deaf"` // workers reach other controllers, but not this one
}

func (reachability *Reachability) encode() []byte {
	var encoder codec.Encoder
	encoder.Int(int64(reachability.SinceHeartbeat))
	encoder.Bool(reachability.Isolated)
	return encoder.B
}

func decodeReachability(b []byte) (reachability Reachability, err error) {
	decoder := codec.Decoder{B: b}
	reachability = Reachability{SinceHeartbeat: time.Duration(decoder.Int()), Isolated: decoder.Bool()}
	return reachability, decoder.Done()
}

// StoreIncarnation reports which incarnation of the store's data a controller knows.
type StoreIncarnation struct {
	ID                string
	DataLossSuspected bool   // this controller suspects that the store lost data
	Reason            string // of the suspicion
	Revision          uint64 // highest store revision known
}

func (incarnation *StoreIncarnation) encode() []byte {
	var encoder codec.Encoder
	encoder.Str(incarnation.ID)
	encoder.Bool(incarnation.DataLossSuspected)
	encoder.Str(incarnation.Reason)
	encoder.Uint(incarnation.Revision)
	return encoder.B
}

func decodeStoreIncarnation(b []byte) (incarnation StoreIncarnation, err error) {
	decoder := codec.Decoder{B: b}
	incarnation = StoreIncarnation{
		ID: decoder.Str(), DataLossSuspected: decoder.Bool(), Reason: decoder.Str(), Revision: decoder.Uint(),
	}
	return incarnation, decoder.Done()
}
