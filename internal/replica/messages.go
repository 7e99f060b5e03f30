package replica

import "rillflow/internal/codec"

// The order in which these messages write their fields is the wire format.

// maxPageBytes limits the keys and values of a message. A frame of the link can hold more.
const maxPageBytes = 192 << 10

// Push is a message of the leader to a follower: the changes after the follower's position,
// or a page of a full replica.
type Push struct {
	Head
	Full  bool // it is a page of a full replica
	First bool // it is the first page
	Last  bool // it is the last page
	// From is the sequence number after which the changes apply. For a page of a full
	// replica it is the sequence number of the replica itself.
	From    uint64
	Entries []Entry
}

// Ack is a follower's answer: the position of its replica. The leader sends a full replica if
// the follower's replica comes from another leader, or lacks changes that the leader no
// longer keeps.
type Ack struct{ Head }

// PageRequest asks a controller for a page of the records that it holds.
type PageRequest struct {
	After  string // key after which the page begins
	Source int    // index in [Replica.Sources]
}

// Page is a part of the records that a controller holds, and the start of the next page.
type Page struct {
	Entries []Entry
	After   string // key after which the next page begins; "": this is the last page
	Source  int    // of the next page
}

func (h *Head) encode(e *codec.Encoder) {
	e.Str(h.Incarnation)
	e.Uint(h.Epoch)
	e.Uint(h.Seq)
	e.Uint(h.Revision)
	e.Uint(uint64(h.Keys))
}

func decodeHead(d *codec.Decoder) Head {
	return Head{Incarnation: d.Str(), Epoch: d.Uint(), Seq: d.Uint(), Revision: d.Uint(), Keys: int(d.Uint())}
}

func encodeEntries(e *codec.Encoder, entries []Entry) {
	e.Uint(uint64(len(entries)))
	for _, entry := range entries {
		e.Str(entry.Key)
		e.Bool(entry.Data != nil)
		if entry.Data != nil {
			e.Bytes(entry.Data)
		}
	}
}

func decodeEntries(d *codec.Decoder) []Entry {
	var entries []Entry
	for range d.Items() {
		entry := Entry{Key: d.Str()}
		if d.Bool() {
			entry.Data = append([]byte{}, d.Bytes()...) // a copy, so that the frame is not retained
		}
		entries = append(entries, entry)
	}
	return entries
}

// Encode returns the binary form of a push.
func (p *Push) Encode() []byte {
	var e codec.Encoder
	p.Head.encode(&e)
	e.Bool(p.Full)
	e.Bool(p.First)
	e.Bool(p.Last)
	e.Uint(p.From)
	encodeEntries(&e, p.Entries)
	return e.B
}

// DecodePush parses the binary form of a push.
func DecodePush(body []byte) (push Push, err error) {
	d := codec.Decoder{B: body}
	push = Push{
		Head: decodeHead(&d), Full: d.Bool(), First: d.Bool(), Last: d.Bool(),
		From: d.Uint(), Entries: decodeEntries(&d),
	}
	return push, d.Done()
}

// Encode returns the binary form of an acknowledgement.
func (a *Ack) Encode() []byte {
	var e codec.Encoder
	a.Head.encode(&e)
	return e.B
}

// DecodeAck parses the binary form of an acknowledgement.
func DecodeAck(body []byte) (ack Ack, err error) {
	d := codec.Decoder{B: body}
	ack = Ack{decodeHead(&d)}
	return ack, d.Done()
}

// Encode returns the binary form of a page.
func (p *Page) Encode() []byte {
	var e codec.Encoder
	e.Str(p.After)
	e.Uint(uint64(p.Source))
	encodeEntries(&e, p.Entries)
	return e.B
}

// DecodePage parses the binary form of a page.
func DecodePage(body []byte) (page Page, err error) {
	d := codec.Decoder{B: body}
	page = Page{After: d.Str(), Source: int(d.Uint()), Entries: decodeEntries(&d)}
	return page, d.Done()
}

// Encode returns the binary form of a page request.
func (r *PageRequest) Encode() []byte {
	var e codec.Encoder
	e.Str(r.After)
	e.Uint(uint64(r.Source))
	return e.B
}

// DecodePageRequest parses the binary form of a page request.
func DecodePageRequest(body []byte) (request PageRequest, err error) {
	d := codec.Decoder{B: body}
	request = PageRequest{After: d.Str(), Source: int(d.Uint())}
	return request, d.Done()
}
