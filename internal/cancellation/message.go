package cancellation

import "rillflow/internal/codec"

// Message sends cancellations to a peer. The order in which Encode writes its fields is
// the wire format.
type Message struct {
	From   string // name of the sending controller
	JobIDs []string
	// Full means that JobIDs is the sender's entire set, and that the sender requests the
	// receiver's entire set.
	Full bool
	// Synced means that the sender's set is synced, see [Set.Synced].
	Synced bool
}

// Encode returns the message's binary form.
func (m *Message) Encode() []byte {
	var e codec.Encoder
	e.Str(m.From)
	e.Strs(m.JobIDs)
	e.Bool(m.Full)
	e.Bool(m.Synced)
	return e.B
}

// DecodeMessage parses the binary form of a message.
func DecodeMessage(body []byte) (message Message, err error) {
	d := codec.Decoder{B: body}
	message = Message{From: d.Str(), JobIDs: d.Strs(), Full: d.Bool(), Synced: d.Bool()}
	return message, d.Done()
}

// Ack answers a [Message]. The order in which Encode writes its fields is the wire format.
type Ack struct {
	// Accepted means that the receiver has recorded the cancellations. It is false if its
	// set is full or, on the leader, while an earlier start command may still start a task
	// of these jobs.
	Accepted bool
	// IsLeader means that the receiver is the leader and will stop the tasks.
	IsLeader bool
	// Synced means that the receiver's set is synced, see [Set.Synced].
	Synced bool
	// JobIDs is the receiver's entire set, in answer to a full message.
	JobIDs []string
}

// Encode returns the acknowledgement's binary form.
func (a *Ack) Encode() []byte {
	var e codec.Encoder
	e.Bool(a.Accepted)
	e.Bool(a.IsLeader)
	e.Bool(a.Synced)
	e.Strs(a.JobIDs)
	return e.B
}

// DecodeAck parses the binary form of an acknowledgement.
func DecodeAck(body []byte) (ack Ack, err error) {
	d := codec.Decoder{B: body}
	ack = Ack{Accepted: d.Bool(), IsLeader: d.Bool(), Synced: d.Bool(), JobIDs: d.Strs()}
	return ack, d.Done()
}

// Leader is the leader's runtime on this controller.
type Leader interface {
	// ApplyCancellations cancels the jobs of the set in the leader's job table. It reports
	// whether this controller is the leader and has done so.
	ApplyCancellations() bool
	// StartCommandsResolved reports whether no earlier start command can still start a task of
	// these jobs.
	StartCommandsResolved(jobIDs ...string) bool
}

// Receive handles a peer's message. A leader whose earlier start commands may still start
// a task of these jobs answers with IsLeader only: it has recorded the cancellations, but
// they must not be acknowledged to the user yet.
func (s *Set) Receive(message *Message, leader Leader) Ack {
	ack := Ack{}
	if message.Full && message.Synced {
		ack.Accepted = s.AddComplete(message.From, message.JobIDs...)
	} else {
		ack.Accepted = s.Add(message.From, message.JobIDs...)
	}
	if !ack.Accepted {
		return ack
	}
	ack.IsLeader = leader.ApplyCancellations()
	if message.Full {
		ack.Synced, ack.JobIDs = s.Synced(), s.JobIDs()
	} else if ack.IsLeader {
		ack.Accepted = leader.StartCommandsResolved(message.JobIDs...)
	}
	return ack
}
