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

// Guards against a change in the encoding of any frame between controllers, which would
// break peers of other versions. Each frame must match its golden bytes and decode to what
// was encoded. Frames of version 0.1 are in testdata/production.
func TestGoldenFrames(t *testing.T) {
	ping, reachability, incarnation := goldentest.Filled[Ping](), goldentest.Filled[Reachability](), goldentest.Filled[StoreIncarnation]()
	heartbeat, heartbeatAnswer := goldentest.Filled[wire.Heartbeat](), goldentest.Filled[HeartbeatAnswer]()
	heartbeatAnswer.Commands.Incarnation = 0 // not sent in an answer
	offer, picks := goldentest.Filled[placement.Offer](), goldentest.Filled[[]placement.Pick]()
	userRequest, userAnswer, counts := goldentest.Filled[UserRequest](), goldentest.Filled[UserAnswer](), goldentest.Filled[Counts]()
	anonymous := userRequest
	anonymous.Auth = ""
	push, pushAck := goldentest.Filled[replica.Push](), goldentest.Filled[replica.Ack]()
	pageRequest, page := goldentest.Filled[replica.PageRequest](), goldentest.Filled[replica.Page]()
	cancellations, cancellationsAck := goldentest.Filled[cancellation.Message](), goldentest.Filled[cancellation.Ack]()
	decodeText := func(b []byte) (string, error) { return string(b), nil }
	var out strings.Builder
	for _, f := range []struct {
		name   string
		kind   frameKind
		body   []byte
		in     any
		decode any
	}{
		{"ping", kindPing, ping.encode(), ping, decodePing},
		{"ping answer", kindAnswer, ping.encode(), ping, decodePing},
		{"beat", kindHeartbeat, encodeHeartbeat(&heartbeat), &heartbeat, decodeHeartbeat},
		{"beat answer", kindAnswer, heartbeatAnswer.encode(), heartbeatAnswer, decodeHeartbeatAnswer},
		{"offer", kindOffer, encodeOffer(&offer), offer, decodeOffer},
		{"offer answer", kindAnswer, encodePicks(picks), picks, decodePicks},
		{"user", kindUser, anonymous.encode(), anonymous, decodeUserRequest},
		{"user with a token", kindUserWithToken, userRequest.encodeWithToken(), userRequest, decodeUserRequestWithToken},
		{"user answer", kindAnswer, userAnswer.encode(), userAnswer, decodeUserAnswer},
		{"counts", kindCounts, []byte("req-1"), "req-1", decodeText},
		{"counts answer", kindAnswer, counts.encode(), counts, decodeCounts},
		{"refuse", kindRefusal, nil, "", decodeText},
		{"version", kindVersion, []byte("0.6"), "0.6", decodeText},
		{"hearing", kindReachability, reachability.encode(), reachability, decodeReachability},
		{"history", kindStoreIncarnation, incarnation.encode(), incarnation, decodeStoreIncarnation},
		{"copy", kindReplicaPush, push.Encode(), push, replica.DecodePush},
		{"copy answer", kindAnswer, pushAck.Encode(), pushAck, replica.DecodeAck},
		{"recall", kindReplicaPage, pageRequest.Encode(), pageRequest, replica.DecodePageRequest},
		{"recall answer", kindAnswer, page.Encode(), page, replica.DecodePage},
		{"withdrawn", kindCancellations, cancellations.Encode(), cancellations, cancellation.DecodeMessage},
		{"withdrawn answer", kindAnswer, cancellationsAck.Encode(), cancellationsAck, cancellation.DecodeAck},
	} {
		var buf bytes.Buffer
		if err := writeFrame(&buf, frame{kind: f.kind, id: 77, body: f.body}); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\t%x\n", f.name, buf.Bytes())
		got, err := readFrame(&buf)
		if err != nil || got.kind != f.kind || got.id != 77 {
			t.Fatalf("%s: frame read as %+v, %v, want kind %d, id 77", f.name, got, err, f.kind)
		}
		results := reflect.ValueOf(f.decode).Call([]reflect.Value{reflect.ValueOf(got.body)})
		if !results[1].IsNil() || !reflect.DeepEqual(results[0].Interface(), f.in) {
			t.Errorf("%s: decoded as %+v, %v, want %+v", f.name, results[0], results[1], f.in)
		}
	}
	goldentest.Check(t, "frames.txt", out.String())
}
