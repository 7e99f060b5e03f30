package peer

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

// Ping tells a peer how this node stands.
type Ping struct {
	Node     string
	Epoch    uint64        // highest known
	Leader   string        // who leads under it
	Parts    []string      // the part map under it
	StateAge time.Duration // since the state service last answered here
}

func (p *Ping) encode() []byte {
	var e encoder
	e.str(p.Node)
	e.uint(p.Epoch)
	e.str(p.Leader)
	e.strs(p.Parts)
	e.int(int64(p.StateAge))
	return e.b
}

func decodePing(b []byte) (p Ping, err error) {
	d := decoder{b: b}
	p = Ping{Node: d.str(), Epoch: d.uint(), Leader: d.str(), Parts: d.strs(), StateAge: time.Duration(d.int())}
	return p, d.done()
}

// Hearing tells a peer how well this node hears workers.
type Hearing struct {
	Age  time.Duration // since a worker last made itself heard here
	Deaf bool          // workers do not reach this node, though they reach others
}

func (h *Hearing) encode() []byte {
	var e encoder
	e.int(int64(h.Age))
	e.bool(h.Deaf)
	return e.b
}

func decodeHearing(b []byte) (h Hearing, err error) {
	d := decoder{b: b}
	h = Hearing{Age: time.Duration(d.int()), Deaf: d.bool()}
	return h, d.done()
}

// BeatAnswer is the leader's answer to a report passed on by an owner.
type BeatAnswer struct {
	OK      bool // false: the leader may not answer it
	Orders  wire.Orders
	Learned []agent.Finish // for the owner's table
}

func encodeReport(r *wire.Report) []byte {
	var e encoder
	e.str(r.Host)
	e.str(r.Address)
	e.str(r.Flavor)
	e.str(r.Locale)
	e.bool(r.Loaners)
	e.uint(r.Tenure)
	e.uint(r.Tick)
	e.uint(r.Epoch)
	e.bool(r.Warning != nil)
	if r.Warning != nil {
		e.float(*r.Warning)
	}
	e.uint(uint64(len(r.Members)))
	for i := range r.Members {
		m := &r.Members[i]
		e.str(m.Member)
		e.uint(m.Try)
		e.str(m.Phase)
		e.str(m.Cause)
		e.bool(m.Kept)
	}
	return e.b
}

func decodeReport(b []byte) (*wire.Report, error) {
	d := decoder{b: b}
	r := &wire.Report{
		Host: d.str(), Address: d.str(), Flavor: d.str(), Locale: d.str(), Loaners: d.bool(),
		Tenure: d.uint(), Tick: d.uint(), Epoch: d.uint(),
	}
	if d.bool() {
		w := d.float()
		r.Warning = &w
	}
	for range d.items() {
		r.Members = append(r.Members, wire.Member{Member: d.str(), Try: d.uint(), Phase: d.str(), Cause: d.str(), Kept: d.bool()})
	}
	return r, d.done()
}

func (a *BeatAnswer) encode() []byte {
	var e encoder
	e.bool(a.OK)
	e.uint(a.Orders.Epoch)
	e.uint(uint64(len(a.Orders.Orders)))
	for i := range a.Orders.Orders {
		o := &a.Orders.Orders[i]
		e.str(o.Verb)
		e.str(o.Member)
		e.uint(o.Try)
		e.float(o.Wind)
	}
	e.uint(uint64(len(a.Learned)))
	for _, l := range a.Learned {
		e.str(l.Type)
		e.str(l.Flavor)
		e.int(int64(l.Run))
	}
	return e.b
}

func decodeBeatAnswer(b []byte) (a BeatAnswer, err error) {
	d := decoder{b: b}
	a.OK = d.bool()
	a.Orders = wire.Orders{Epoch: d.uint(), Orders: []wire.Order{}}
	for range d.items() {
		a.Orders.Orders = append(a.Orders.Orders, wire.Order{Verb: d.str(), Member: d.str(), Try: d.uint(), Wind: d.float()})
	}
	for range d.items() {
		a.Learned = append(a.Learned, agent.Finish{Type: d.str(), Flavor: d.str(), Run: time.Duration(d.int())})
	}
	return a, d.done()
}

func encodeOffer(o *placement.Offer) []byte {
	var e encoder
	e.uint(uint64(len(o.Rooms)))
	for i := range o.Rooms {
		r := &o.Rooms[i]
		e.str(r.Host)
		e.str(r.Flavor)
		e.str(r.Zone)
		e.bool(r.Loaners)
		for _, f := range []float64{r.Cores, r.Accel, r.RAM, r.Total, r.Pull} {
			e.float(f)
		}
		e.strs(r.Images)
		e.strs(r.Coming)
		e.float(r.ComingGB)
		e.str(r.Held)
		e.int(int64(r.HeldTier))
	}
	e.uint(uint64(len(o.Queues)))
	for i := range o.Queues {
		q := &o.Queues[i]
		e.str(q.Type)
		e.int(int64(q.Count))
		e.uint(uint64(len(q.Jobs)))
		for k := range q.Jobs {
			w := &q.Jobs[k]
			e.str(w.Ref)
			e.int(int64(w.Tasks))
			e.int(int64(w.Tier))
			e.int(int64(w.Age))
			for _, f := range []float64{w.Cores, w.Accel, w.RAM, w.SizeGB} {
				e.float(f)
			}
			e.str(w.Bundle)
			e.bool(w.Standing)
			e.bool(w.Loaners)
			e.strs(w.Flavors)
			e.bool(w.Zones != nil)
			e.uint(uint64(len(w.Zones)))
			for z, n := range w.Zones {
				e.str(z)
				e.int(int64(n))
			}
			e.strs(w.Avoid)
			e.float(w.Within)
			e.strs(w.Warm)
		}
	}
	return e.b
}

func decodeOffer(b []byte) (o placement.Offer, err error) {
	d := decoder{b: b}
	for range d.items() {
		r := placement.Room{Host: d.str(), Flavor: d.str(), Zone: d.str(), Loaners: d.bool()}
		for _, f := range []*float64{&r.Cores, &r.Accel, &r.RAM, &r.Total, &r.Pull} {
			*f = d.float()
		}
		r.Images, r.Coming, r.ComingGB = d.strs(), d.strs(), d.float()
		r.Held, r.HeldTier = d.str(), int(d.int())
		o.Rooms = append(o.Rooms, r)
	}
	for range d.items() {
		q := placement.Queue{Type: d.str(), Count: int(d.int())}
		for range d.items() {
			w := placement.Waiting{Ref: d.str(), Tasks: int(d.int()), Tier: int(d.int()), Age: time.Duration(d.int())}
			for _, f := range []*float64{&w.Cores, &w.Accel, &w.RAM, &w.SizeGB} {
				*f = d.float()
			}
			w.Bundle, w.Standing, w.Loaners, w.Flavors = d.str(), d.bool(), d.bool(), d.strs()
			zoned := d.bool()
			n := d.count()
			if zoned {
				w.Zones = make(map[string]int)
			}
			for range n {
				z, k := d.str(), int(d.int())
				if zoned {
					w.Zones[z] = k
				}
			}
			w.Avoid, w.Within, w.Warm = d.strs(), d.float(), d.strs()
			q.Jobs = append(q.Jobs, w)
		}
		o.Queues = append(o.Queues, q)
	}
	return o, d.done()
}

func encodePicks(ps []placement.Picked) []byte {
	var e encoder
	e.uint(uint64(len(ps)))
	for _, p := range ps {
		e.str(p.Host)
		e.str(p.Ref)
		e.int(int64(p.Tier))
		e.float(p.Cost)
		e.float(p.Weight)
	}
	return e.b
}

func decodePicks(b []byte) (ps []placement.Picked, err error) {
	d := decoder{b: b}
	for range d.items() {
		ps = append(ps, placement.Picked{Host: d.str(), Ref: d.str(), Tier: int(d.int()), Cost: d.float(), Weight: d.float()})
	}
	return ps, d.done()
}

// UserRequest is a user's request passed on by a node that the state service
// refuses.
type UserRequest struct {
	Method, Path string
	Body         []byte
}

// UserAnswer is its answer.
type UserAnswer struct {
	Status     int
	RetryAfter string
	Body       []byte
}

func (r *UserRequest) encode() []byte {
	var e encoder
	e.str(r.Method)
	e.str(r.Path)
	e.bytes(r.Body)
	return e.b
}

func decodeUserRequest(b []byte) (r UserRequest, err error) {
	d := decoder{b: b}
	r = UserRequest{Method: d.str(), Path: d.str(), Body: d.bytes()}
	return r, d.done()
}

func (a *UserAnswer) encode() []byte {
	var e encoder
	e.int(int64(a.Status))
	e.str(a.RetryAfter)
	e.bytes(a.Body)
	return e.b
}

func decodeUserAnswer(b []byte) (a UserAnswer, err error) {
	d := decoder{b: b}
	a = UserAnswer{Status: int(d.int()), RetryAfter: d.str(), Body: d.bytes()}
	return a, d.done()
}

// Counts are a live job's tasks for display.
type Counts struct {
	Known         bool
	Done, Running int
}

func (c *Counts) encode() []byte {
	var e encoder
	e.bool(c.Known)
	e.int(int64(c.Done))
	e.int(int64(c.Running))
	return e.b
}

func decodeCounts(b []byte) (c Counts, err error) {
	d := decoder{b: b}
	c = Counts{Known: d.bool(), Done: int(d.int()), Running: int(d.int())}
	return c, d.done()
}
