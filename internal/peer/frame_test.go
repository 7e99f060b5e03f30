package peer

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

var spotNoticeSeconds = 12.5

var testHeartbeat = &wire.Heartbeat{
	Worker: "i-1", Address: "1.2.3.4:5", InstanceType: "big", Zone: "a", Spot: true, Incarnation: 3, Sequence: 1 << 40, Epoch: 7, SpotNoticeSeconds: &spotNoticeSeconds,
	Tasks: []wire.TaskStatus{{Task: "req-1/2", Attempt: 3, Phase: "ended", ExitReason: "halted", CheckpointSaved: true}, {Task: "req-2/0", Attempt: 1, Phase: "running"}},
}

var testOffer = placement.Offer{
	Candidates: []placement.Candidate{{
		Worker: "i-1", InstanceType: "big", Zone: "a", CPUs: 3.5, GPUs: 1, MemoryGB: 7, TotalCPUs: 32, PullGBPerSecond: 0.2,
		Images: []string{"x"}, PullingImages: []string{"y", "z"}, PullingGB: 2.5, ReservedFor: "req-9", ReservedTier: 3,
	}},
	Queues: []placement.Queue{{Type: "t", Unfinished: 40, Jobs: []placement.WaitingJob{{
		JobID: "req-1", Tasks: 2, Tier: 6, Age: time.Second, CPUs: 1, MemoryGB: 2, Image: "x", ImageGB: 1.5, Service: true,
		InstanceTypes: []string{"big"}, ZoneSlots: map[string]int{"a": 1, "b": -1}, ExcludedWorkers: []string{"i-3"}, StartWithinSeconds: 1, WarmZones: []string{"a"},
	}}}},
}

var (
	testPing            = Ping{Node: "n", Epoch: 9, Leader: "m", ShardOwners: []string{"m", "n"}, StoreSilence: time.Minute}
	testHeartbeatAnswer = HeartbeatAnswer{
		OK: true, Commands: wire.CommandBatch{Epoch: 4, Commands: []wire.Command{{Action: "stop", Task: "req-1/0", Attempt: 2, GraceSeconds: 1.5}}},
		Samples: []agent.RuntimeSample{{JobType: "t", InstanceType: "big", Duration: time.Hour}},
	}
	testPicks                = []placement.Pick{{Worker: "i-1", JobID: "req-1", Tier: 2, Cost: -0.5, Weight: 8}}
	testUserRequest          = UserRequest{Method: "POST", Path: "/v1/jobs", Body: []byte("{}")}
	testUserRequestWithToken = UserRequest{Method: "POST", Path: "/v1/jobs", Body: []byte("{}"), Auth: "Bearer x"}
	testUserAnswer           = UserAnswer{Status: 503, RetryAfter: "1", Body: []byte("x")}
	testReachability         = Reachability{SinceHeartbeat: 3 * time.Second, Isolated: true}
	testStoreIncarnation     = StoreIncarnation{ID: "A", DataLossSuspected: true, Reason: "x", Revision: 9}
	testCounts               = Counts{Known: true, Done: 3, Running: 4}
)

func TestRoundTrips(t *testing.T) {
	for _, tc := range []struct {
		name   string
		in     any
		bytes  []byte
		decode func([]byte) (any, error)
	}{
		{"ping", testPing, testPing.encode(), func(b []byte) (any, error) { return decodePing(b) }},
		{"heartbeat", testHeartbeat, encodeHeartbeat(testHeartbeat), func(b []byte) (any, error) { return decodeHeartbeat(b) }},
		{"heartbeat answer", testHeartbeatAnswer, testHeartbeatAnswer.encode(), func(b []byte) (any, error) { return decodeHeartbeatAnswer(b) }},
		{"offer", testOffer, encodeOffer(&testOffer), func(b []byte) (any, error) { return decodeOffer(b) }},
		{"picks", testPicks, encodePicks(testPicks), func(b []byte) (any, error) { return decodePicks(b) }},
		{"user request", testUserRequest, testUserRequest.encode(), func(b []byte) (any, error) { return decodeUserRequest(b) }},
		{"user request with a token", testUserRequestWithToken, testUserRequestWithToken.encodeWithToken(), func(b []byte) (any, error) { return decodeUserRequestWithToken(b) }},
		{"user answer", testUserAnswer, testUserAnswer.encode(), func(b []byte) (any, error) { return decodeUserAnswer(b) }},
		{"reachability", testReachability, testReachability.encode(), func(b []byte) (any, error) { return decodeReachability(b) }},
		{"store incarnation", testStoreIncarnation, testStoreIncarnation.encode(), func(b []byte) (any, error) { return decodeStoreIncarnation(b) }},
		{"counts", testCounts, testCounts.encode(), func(b []byte) (any, error) { return decodeCounts(b) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := tc.decode(tc.bytes)
			if err != nil || !reflect.DeepEqual(got, tc.in) {
				t.Fatalf("got %+v, %v, want %+v", got, err, tc.in)
			}
			for n := range tc.bytes {
				if _, err := tc.decode(tc.bytes[:n]); err == nil {
					t.Fatalf("payload truncated to %d of %d bytes was accepted", n, len(tc.bytes))
				}
			}
			if _, err := tc.decode(append(bytes.Clone(tc.bytes), 0)); !errors.Is(err, ErrFormat) {
				t.Error("payload with an extra byte was accepted")
			}
		})
	}
}

func TestFrame(t *testing.T) {
	var buf bytes.Buffer
	if err := writeFrame(&buf, frame{kindOffer, 1 << 50, []byte("abc")}); err != nil {
		t.Fatal(err)
	}
	raw := buf.Bytes()
	f, err := readFrame(bytes.NewReader(raw))
	if err != nil || f.kind != kindOffer || f.id != 1<<50 || string(f.body) != "abc" {
		t.Fatalf("got frame %+v, %v", f, err)
	}
	otherVersion := bytes.Clone(raw)
	otherVersion[0]++
	if _, err := readFrame(bytes.NewReader(otherVersion)); !errors.Is(err, ErrFormat) {
		t.Error("frame of another format version was accepted")
	}
	tooLong := bytes.Clone(raw)
	tooLong[10] = 0xff
	if _, err := readFrame(bytes.NewReader(tooLong)); !errors.Is(err, ErrFormat) {
		t.Error("length above the limit was accepted")
	}
	if err := writeFrame(&buf, frame{kindOffer, 1, make([]byte, maxPayloadBytes+1)}); !errors.Is(err, ErrFormat) {
		t.Error("payload above the limit was written")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeHeartbeat(testHeartbeat))
	f.Add(encodeOffer(&testOffer))
	f.Add(testReachability.encode())
	large := placement.Offer{Queues: testOffer.Queues}
	for range 700 { // a shard of a fleet of 2,000
		large.Candidates = append(large.Candidates, testOffer.Candidates[0])
	}
	f.Add(encodeOffer(&large))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeHeartbeat(b); err == nil {
			if again, err := decodeHeartbeat(encodeHeartbeat(r)); err != nil || again.Worker != r.Worker || len(again.Tasks) != len(r.Tasks) {
				t.Fatalf("heartbeat changed by encoding: %v", err)
			}
		}
		if o, err := decodeOffer(b); err == nil {
			if again, err := decodeOffer(encodeOffer(&o)); err != nil || len(again.Candidates) != len(o.Candidates) || len(again.Queues) != len(o.Queues) {
				t.Fatalf("offer changed by encoding: %v", err)
			}
		}
		decodePing(b)
		if h, err := decodeReachability(b); err == nil {
			if again, err := decodeReachability(h.encode()); err != nil || again != h {
				t.Fatalf("reachability changed by encoding: %v", err)
			}
		}
		decodeHeartbeatAnswer(b)
		decodePicks(b)
		decodeUserRequest(b)
		readFrame(bytes.NewReader(b))
	})
}
