package peer

import (
	"time"

	"rillflow/internal/codec"
)

// Ping tells a peer how a controller stands.
type Ping struct {
	Node         string        `json:"Node"`
	Epoch        uint64        `json:"Epoch"`    // highest known
	Leader       string        `json:"Leader"`   // who leads under it
	ShardOwners  []string      `json:"Parts"`    // the shard owners under it
	StoreSilence time.Duration `json:"StateAge"` // since the store last answered this controller
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

// Reachability tells a peer how well a controller hears workers.
type Reachability struct {
	SinceHeartbeat time.Duration `json:"Age"`  // since a worker's last heartbeat here
	Isolated       bool          `json:"Deaf"` // workers do not reach this controller, though they reach others
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

// StoreIncarnation tells a peer which incarnation of the store's data a controller knows.
type StoreIncarnation struct {
	ID                string
	DataLossSuspected bool // data may have been lost, as far as this controller knows
	Reason            string
	Revision          uint64 // that the store is known to have reached
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
