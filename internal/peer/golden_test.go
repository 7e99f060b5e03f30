package peer

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"rillflow/internal/cancellation"
	"rillflow/internal/goldentest"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/wire"
)

// Every frame between controllers stays as it is sent today, byte for byte, and reads
// back as what was sent. testdata/production has those of version 0.1.
func TestGoldenFrames(t *testing.T) {
	p, h, past := goldentest.Filled[Ping](), goldentest.Filled[Reachability](), goldentest.Filled[StoreIncarnation]()
	rep, ba := goldentest.Filled[wire.Heartbeat](), goldentest.Filled[HeartbeatAnswer]()
	ba.Commands.Incarnation = 0 // an answer has none
	o, ps := goldentest.Filled[placement.Offer](), goldentest.Filled[[]placement.Pick]()
	ur, ua, c := goldentest.Filled[UserRequest](), goldentest.Filled[UserAnswer](), goldentest.Filled[Counts]()
	anonymous := ur
	anonymous.Auth = ""
	push, ca := goldentest.Filled[replica.Push](), goldentest.Filled[replica.Ack]()
	ask, page := goldentest.Filled[replica.PageRequest](), goldentest.Filled[replica.Page]()
	note, wa := goldentest.Filled[cancellation.Message](), goldentest.Filled[cancellation.Ack]()
	text := func(b []byte) (string, error) { return string(b), nil }
	var out strings.Builder
	for _, f := range []struct {
		name   string
		kind   kind
		body   []byte
		in     any
		decode any
	}{
		{"ping", kindPing, p.encode(), p, decodePing},
		{"ping answer", kindAnswer, p.encode(), p, decodePing},
		{"beat", kindHeartbeat, encodeHeartbeat(&rep), &rep, decodeHeartbeat},
		{"beat answer", kindAnswer, ba.encode(), ba, decodeHeartbeatAnswer},
		{"offer", kindOffer, encodeOffer(&o), o, decodeOffer},
		{"offer answer", kindAnswer, encodePicks(ps), ps, decodePicks},
		{"user", kindUser, anonymous.encode(), anonymous, decodeUserRequest},
		{"user with a token", kindUserWithToken, ur.encodeWithToken(), ur, decodeUserRequestWithToken},
		{"user answer", kindAnswer, ua.encode(), ua, decodeUserAnswer},
		{"counts", kindCounts, []byte("req-1"), "req-1", text},
		{"counts answer", kindAnswer, c.encode(), c, decodeCounts},
		{"refuse", kindRefusal, nil, "", text},
		{"version", kindVersion, []byte("0.6"), "0.6", text},
		{"hearing", kindReachability, h.encode(), h, decodeReachability},
		{"history", kindStoreIncarnation, past.encode(), past, decodeStoreIncarnation},
		{"copy", kindReplicaPush, push.Encode(), push, replica.DecodePush},
		{"copy answer", kindAnswer, ca.Encode(), ca, replica.DecodeAck},
		{"recall", kindReplicaPage, ask.Encode(), ask, replica.DecodePageRequest},
		{"recall answer", kindAnswer, page.Encode(), page, replica.DecodePage},
		{"withdrawn", kindCancellations, note.Encode(), note, cancellation.DecodeMessage},
		{"withdrawn answer", kindAnswer, wa.Encode(), wa, cancellation.DecodeAck},
	} {
		var buf bytes.Buffer
		if err := writeFrame(&buf, frame{kind: f.kind, id: 77, body: f.body}); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\t%x\n", f.name, buf.Bytes())
		got, err := readFrame(&buf)
		if err != nil || got.kind != f.kind || got.id != 77 {
			t.Fatalf("%s reads as %+v, %v", f.name, got, err)
		}
		back := reflect.ValueOf(f.decode).Call([]reflect.Value{reflect.ValueOf(got.body)})
		if !back[1].IsNil() || !reflect.DeepEqual(back[0].Interface(), f.in) {
			t.Errorf("%s reads as %+v, %v; sent was %+v", f.name, back[0], back[1], f.in)
		}
	}
	goldentest.Check(t, "frames.txt", out.String())
}
