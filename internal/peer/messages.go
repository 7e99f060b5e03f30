package peer

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/codec"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

// Ping tells a peer how this node stands.
type Ping struct {
	Node         string        `json:"Node"`
	Epoch        uint64        `json:"Epoch"`    // highest known
	Leader       string        `json:"Leader"`   // who leads under it
	ShardOwners  []string      `json:"Parts"`    // the part map under it
	StoreSilence time.Duration `json:"StateAge"` // since the state service last answered here
}

func (p *Ping) encode() []byte {
	var e codec.Encoder
	e.Str(p.Node)
	e.Uint(p.Epoch)
	e.Str(p.Leader)
	e.Strs(p.ShardOwners)
	e.Int(int64(p.StoreSilence))
	return e.B
}

func decodePing(b []byte) (p Ping, err error) {
	d := codec.Decoder{B: b}
	p = Ping{Node: d.Str(), Epoch: d.Uint(), Leader: d.Str(), ShardOwners: d.Strs(), StoreSilence: time.Duration(d.Int())}
	return p, d.Done()
}

// Reachability tells a peer how well this node hears workers.
type Reachability struct {
	SinceHeartbeat time.Duration `json:"Age"`  // since a worker last made itself heard here
	Isolated       bool          `json:"Deaf"` // workers do not reach this node, though they reach others
}

func (h *Reachability) encode() []byte {
	var e codec.Encoder
	e.Int(int64(h.SinceHeartbeat))
	e.Bool(h.Isolated)
	return e.B
}

func decodeReachability(b []byte) (h Reachability, err error) {
	d := codec.Decoder{B: b}
	h = Reachability{SinceHeartbeat: time.Duration(d.Int()), Isolated: d.Bool()}
	return h, d.Done()
}

// StoreIncarnation tells a peer how a node takes the state service's history.
type StoreIncarnation struct {
	ID                string
	DataLossSuspected bool // it may be lost, as far as this node knows
	Reason            string
	Revision          uint64 // generation that it is known to have reached
}

func (h *StoreIncarnation) encode() []byte {
	var e codec.Encoder
	e.Str(h.ID)
	e.Bool(h.DataLossSuspected)
	e.Str(h.Reason)
	e.Uint(h.Revision)
	return e.B
}

func decodeStoreIncarnation(b []byte) (h StoreIncarnation, err error) {
	d := codec.Decoder{B: b}
	h = StoreIncarnation{ID: d.Str(), DataLossSuspected: d.Bool(), Reason: d.Str(), Revision: d.Uint()}
	return h, d.Done()
}

// HeartbeatAnswer is the leader's answer to a report passed on by an owner.
type HeartbeatAnswer struct {
	OK       bool // false: the leader may not answer it
	Commands wire.CommandBatch
	Samples  []agent.RuntimeSample // for the owner's table
}

func encodeHeartbeat(r *wire.Heartbeat) []byte {
	var e codec.Encoder
	e.Str(r.Worker)
	e.Str(r.Address)
	e.Str(r.InstanceType)
	e.Str(r.Zone)
	e.Bool(r.Spot)
	e.Uint(r.Incarnation)
	e.Uint(r.Sequence)
	e.Uint(r.Epoch)
	e.Bool(r.SpotNoticeSeconds != nil)
	if r.SpotNoticeSeconds != nil {
		e.Float(*r.SpotNoticeSeconds)
	}
	e.Uint(uint64(len(r.Tasks)))
	for i := range r.Tasks {
		m := &r.Tasks[i]
		e.Str(m.Task)
		e.Uint(m.Attempt)
		e.Str(m.Phase)
		e.Str(m.ExitReason)
		e.Bool(m.CheckpointSaved)
	}
	return e.B
}

func decodeHeartbeat(b []byte) (*wire.Heartbeat, error) {
	d := codec.Decoder{B: b}
	r := &wire.Heartbeat{
		Worker: d.Str(), Address: d.Str(), InstanceType: d.Str(), Zone: d.Str(), Spot: d.Bool(),
		Incarnation: d.Uint(), Sequence: d.Uint(), Epoch: d.Uint(),
	}
	if d.Bool() {
		w := d.Float()
		r.SpotNoticeSeconds = &w
	}
	for range d.Items() {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: d.Str(), Attempt: d.Uint(), Phase: d.Str(), ExitReason: d.Str(), CheckpointSaved: d.Bool()})
	}
	return r, d.Done()
}

func (a *HeartbeatAnswer) encode() []byte {
	var e codec.Encoder
	e.Bool(a.OK)
	e.Uint(a.Commands.Epoch)
	e.Uint(uint64(len(a.Commands.Commands)))
	for i := range a.Commands.Commands {
		o := &a.Commands.Commands[i]
		e.Str(o.Action)
		e.Str(o.Task)
		e.Uint(o.Attempt)
		e.Float(o.GraceSeconds)
	}
	e.Uint(uint64(len(a.Samples)))
	for _, l := range a.Samples {
		e.Str(l.JobType)
		e.Str(l.InstanceType)
		e.Int(int64(l.Duration))
	}
	return e.B
}

func decodeHeartbeatAnswer(b []byte) (a HeartbeatAnswer, err error) {
	d := codec.Decoder{B: b}
	a.OK = d.Bool()
	a.Commands = wire.CommandBatch{Epoch: d.Uint(), Commands: []wire.Command{}}
	for range d.Items() {
		a.Commands.Commands = append(a.Commands.Commands, wire.Command{Action: d.Str(), Task: d.Str(), Attempt: d.Uint(), GraceSeconds: d.Float()})
	}
	for range d.Items() {
		a.Samples = append(a.Samples, agent.RuntimeSample{JobType: d.Str(), InstanceType: d.Str(), Duration: time.Duration(d.Int())})
	}
	return a, d.Done()
}

func encodeOffer(o *placement.Offer) []byte {
	var e codec.Encoder
	e.Uint(uint64(len(o.Candidates)))
	for i := range o.Candidates {
		r := &o.Candidates[i]
		e.Str(r.Worker)
		e.Str(r.InstanceType)
		e.Str(r.Zone)
		e.Bool(r.Spot)
		for _, f := range []float64{r.CPUs, r.GPUs, r.MemoryGB, r.TotalCPUs, r.PullGBPerSecond} {
			e.Float(f)
		}
		e.Strs(r.Images)
		e.Strs(r.PullingImages)
		e.Float(r.PullingGB)
		e.Str(r.ReservedFor)
		e.Int(int64(r.ReservedTier))
	}
	e.Uint(uint64(len(o.Queues)))
	for i := range o.Queues {
		q := &o.Queues[i]
		e.Str(q.Type)
		e.Int(int64(q.Unfinished))
		e.Uint(uint64(len(q.Jobs)))
		for k := range q.Jobs {
			w := &q.Jobs[k]
			e.Str(w.Ref)
			e.Int(int64(w.Tasks))
			e.Int(int64(w.Tier))
			e.Int(int64(w.Age))
			for _, f := range []float64{w.CPUs, w.GPUs, w.MemoryGB, w.ImageGB} {
				e.Float(f)
			}
			e.Str(w.Image)
			e.Bool(w.Service)
			e.Bool(w.AllowSpot)
			e.Strs(w.InstanceTypes)
			e.Bool(w.ZoneSlots != nil)
			e.Uint(uint64(len(w.ZoneSlots)))
			for z, n := range w.ZoneSlots {
				e.Str(z)
				e.Int(int64(n))
			}
			e.Strs(w.ExcludedWorkers)
			e.Float(w.StartWithinSeconds)
			e.Strs(w.WarmZones)
		}
	}
	return e.B
}

func decodeOffer(b []byte) (o placement.Offer, err error) {
	d := codec.Decoder{B: b}
	for range d.Items() {
		r := placement.Candidate{Worker: d.Str(), InstanceType: d.Str(), Zone: d.Str(), Spot: d.Bool()}
		for _, f := range []*float64{&r.CPUs, &r.GPUs, &r.MemoryGB, &r.TotalCPUs, &r.PullGBPerSecond} {
			*f = d.Float()
		}
		r.Images, r.PullingImages, r.PullingGB = d.Strs(), d.Strs(), d.Float()
		r.ReservedFor, r.ReservedTier = d.Str(), int(d.Int())
		o.Candidates = append(o.Candidates, r)
	}
	for range d.Items() {
		q := placement.Queue{Type: d.Str(), Unfinished: int(d.Int())}
		for range d.Items() {
			w := placement.WaitingJob{Ref: d.Str(), Tasks: int(d.Int()), Tier: int(d.Int()), Age: time.Duration(d.Int())}
			for _, f := range []*float64{&w.CPUs, &w.GPUs, &w.MemoryGB, &w.ImageGB} {
				*f = d.Float()
			}
			w.Image, w.Service, w.AllowSpot, w.InstanceTypes = d.Str(), d.Bool(), d.Bool(), d.Strs()
			zoned := d.Bool()
			n := d.Count()
			if zoned {
				w.ZoneSlots = make(map[string]int)
			}
			for range n {
				z, k := d.Str(), int(d.Int())
				if zoned {
					w.ZoneSlots[z] = k
				}
			}
			w.ExcludedWorkers, w.StartWithinSeconds, w.WarmZones = d.Strs(), d.Float(), d.Strs()
			q.Jobs = append(q.Jobs, w)
		}
		o.Queues = append(o.Queues, q)
	}
	return o, d.Done()
}

func encodePicks(ps []placement.Pick) []byte {
	var e codec.Encoder
	e.Uint(uint64(len(ps)))
	for _, p := range ps {
		e.Str(p.Worker)
		e.Str(p.Ref)
		e.Int(int64(p.Tier))
		e.Float(p.Cost)
		e.Float(p.Weight)
	}
	return e.B
}

func decodePicks(b []byte) (ps []placement.Pick, err error) {
	d := codec.Decoder{B: b}
	for range d.Items() {
		ps = append(ps, placement.Pick{Worker: d.Str(), Ref: d.Str(), Tier: int(d.Int()), Cost: d.Float(), Weight: d.Float()})
	}
	return ps, d.Done()
}

// UserRequest is a user's request passed on by a node that the state service
// refuses.
type UserRequest struct {
	Method, Path string
	Body         []byte
	// Auth is the request's Authorization, if it has one. It goes in a frame of
	// another kind, with all else as it ever was.
	Auth string
}

// UserAnswer is its answer.
type UserAnswer struct {
	Status     int
	RetryAfter string
	Body       []byte
}

func (r *UserRequest) encode() []byte {
	var e codec.Encoder
	e.Str(r.Method)
	e.Str(r.Path)
	e.Bytes(r.Body)
	return e.B
}

// encodeAs gives a request with its Authorization.
func (r *UserRequest) encodeAs() []byte {
	var e codec.Encoder
	e.Str(r.Auth)
	e.Str(r.Method)
	e.Str(r.Path)
	e.Bytes(r.Body)
	return e.B
}

func decodeUserRequestAs(b []byte) (r UserRequest, err error) {
	d := codec.Decoder{B: b}
	r = UserRequest{Auth: d.Str(), Method: d.Str(), Path: d.Str(), Body: d.Bytes()}
	return r, d.Done()
}

func decodeUserRequest(b []byte) (r UserRequest, err error) {
	d := codec.Decoder{B: b}
	r = UserRequest{Method: d.Str(), Path: d.Str(), Body: d.Bytes()}
	return r, d.Done()
}

func (a *UserAnswer) encode() []byte {
	var e codec.Encoder
	e.Int(int64(a.Status))
	e.Str(a.RetryAfter)
	e.Bytes(a.Body)
	return e.B
}

func decodeUserAnswer(b []byte) (a UserAnswer, err error) {
	d := codec.Decoder{B: b}
	a = UserAnswer{Status: int(d.Int()), RetryAfter: d.Str(), Body: d.Bytes()}
	return a, d.Done()
}

// Counts are a live job's tasks for display.
type Counts struct {
	Known         bool
	Done, Running int
}

func (c *Counts) encode() []byte {
	var e codec.Encoder
	e.Bool(c.Known)
	e.Int(int64(c.Done))
	e.Int(int64(c.Running))
	return e.B
}

func decodeCounts(b []byte) (c Counts, err error) {
	d := codec.Decoder{B: b}
	c = Counts{Known: d.Bool(), Done: int(d.Int()), Running: int(d.Int())}
	return c, d.Done()
}
