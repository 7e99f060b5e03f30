package replica

import (
	"rillflow/internal/codec"
)

// Push is what the leader sends a follower: changes since what it has, or a page of a
// whole copy.
type Push struct {
	Head
	Whole   bool   // a page of a whole copy
	First   bool   // its first page
	Last    bool   // its last
	From    uint64 // the changes follow this one; of a whole copy, its own Seq
	Entries []Entry
}

// Ack is a follower's answer: what it has. A whole copy is wanted if it is of another
// leader, or behind what the leader remembers.
type Ack struct{ Head }

// Page is a part of what a node remembers, and where the next one begins.
type Page struct {
	Entries []Entry
	After   string // "" : there is no more
	Source  int
}

// PageRequest asks for a page.
type PageRequest struct {
	After  string
	Source int // 0: the present copy, 1: the earlier one
}

// pageBytes bounds a message; a frame of the link holds more.
const pageBytes = 192 << 10

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
			entry.Data = append([]byte{}, d.Bytes()...) // the payload is not kept
		}
		entries = append(entries, entry)
	}
	return entries
}

// Encode gives the binary form.
func (p *Push) Encode() []byte {
	var e codec.Encoder
	p.Head.encode(&e)
	e.Bool(p.Whole)
	e.Bool(p.First)
	e.Bool(p.Last)
	e.Uint(p.From)
	encodeEntries(&e, p.Entries)
	return e.B
}

// DecodePush reads the binary form.
func DecodePush(body []byte) (push Push, err error) {
	d := codec.Decoder{B: body}
	push = Push{Head: decodeHead(&d), Whole: d.Bool(), First: d.Bool(), Last: d.Bool(), From: d.Uint(), Entries: decodeEntries(&d)}
	return push, d.Done()
}

// Encode gives the binary form.
func (a *Ack) Encode() []byte {
	var e codec.Encoder
	a.Head.encode(&e)
	return e.B
}

// DecodeAck reads the binary form.
func DecodeAck(body []byte) (ack Ack, err error) {
	d := codec.Decoder{B: body}
	ack = Ack{decodeHead(&d)}
	return ack, d.Done()
}

// Encode gives the binary form.
func (p *Page) Encode() []byte {
	var e codec.Encoder
	e.Str(p.After)
	e.Uint(uint64(p.Source))
	encodeEntries(&e, p.Entries)
	return e.B
}

// DecodePage reads the binary form.
func DecodePage(body []byte) (page Page, err error) {
	d := codec.Decoder{B: body}
	page = Page{After: d.Str(), Source: int(d.Uint()), Entries: decodeEntries(&d)}
	return page, d.Done()
}

// Encode gives the binary form.
func (r *PageRequest) Encode() []byte {
	var e codec.Encoder
	e.Str(r.After)
	e.Uint(uint64(r.Source))
	return e.B
}

// DecodePageRequest reads the binary form.
func DecodePageRequest(body []byte) (request PageRequest, err error) {
	d := codec.Decoder{B: body}
	request = PageRequest{After: d.Str(), Source: int(d.Uint())}
	return request, d.Done()
}

// ReadPage gives the next page of what this node remembers.
func (r *Replica) ReadPage(request PageRequest) Page {
	sources := r.Sources()
	page := Page{Source: request.Source}
	if request.Source < 0 || request.Source >= len(sources) {
		return page
	}
	page.Entries, page.After = readPage(sources[request.Source], request.After)
	if page.After == "" && request.Source+1 < len(sources) {
		page.Source++
		page.After = "\x00"
	}
	return page
}
