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

var warning = 12.5

var report = &wire.Heartbeat{
	Worker: "i-1", Address: "1.2.3.4:5", InstanceType: "big", Zone: "a", Spot: true, Incarnation: 3, Sequence: 1 << 40, Epoch: 7, SpotNoticeSeconds: &warning,
	Tasks: []wire.TaskStatus{{Task: "req-1/2", Attempt: 3, Phase: "ended", ExitReason: "halted", CheckpointSaved: true}, {Task: "req-2/0", Attempt: 1, Phase: "running"}},
}

var offer = placement.Offer{
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
	ping   = Ping{Node: "n", Epoch: 9, Leader: "m", ShardOwners: []string{"m", "n"}, StoreSilence: time.Minute}
	answer = HeartbeatAnswer{
		OK: true, Commands: wire.CommandBatch{Epoch: 4, Commands: []wire.Command{{Action: "stop", Task: "req-1/0", Attempt: 2, GraceSeconds: 1.5}}},
		Samples: []agent.RuntimeSample{{JobType: "t", InstanceType: "big", Duration: time.Hour}},
	}
	picks      = []placement.Pick{{Worker: "i-1", JobID: "req-1", Tier: 2, Cost: -0.5, Weight: 8}}
	user       = UserRequest{Method: "POST", Path: "/v1/jobs", Body: []byte("{}")}
	userAs     = UserRequest{Method: "POST", Path: "/v1/jobs", Body: []byte("{}"), Auth: "Bearer x"}
	useranswer = UserAnswer{Status: 503, RetryAfter: "1", Body: []byte("x")}
	hearing    = Reachability{SinceHeartbeat: 3 * time.Second, Isolated: true}
	past       = StoreIncarnation{ID: "A", DataLossSuspected: true, Reason: "x", Revision: 9}
	counts     = Counts{Known: true, Done: 3, Running: 4}
)

func TestRoundTrips(t *testing.T) {
	for _, tc := range []struct {
		name   string
		in     any
		bytes  []byte
		decode func([]byte) (any, error)
	}{
		{"ping", ping, ping.encode(), func(b []byte) (any, error) { return decodePing(b) }},
		{"report", report, encodeHeartbeat(report), func(b []byte) (any, error) { return decodeHeartbeat(b) }},
		{"answer", answer, answer.encode(), func(b []byte) (any, error) { return decodeHeartbeatAnswer(b) }},
		{"offer", offer, encodeOffer(&offer), func(b []byte) (any, error) { return decodeOffer(b) }},
		{"picks", picks, encodePicks(picks), func(b []byte) (any, error) { return decodePicks(b) }},
		{"user", user, user.encode(), func(b []byte) (any, error) { return decodeUserRequest(b) }},
		{"user with a token", userAs, userAs.encodeWithToken(), func(b []byte) (any, error) { return decodeUserRequestWithToken(b) }},
		{"user answer", useranswer, useranswer.encode(), func(b []byte) (any, error) { return decodeUserAnswer(b) }},
		{"hearing", hearing, hearing.encode(), func(b []byte) (any, error) { return decodeReachability(b) }},
		{"history", past, past.encode(), func(b []byte) (any, error) { return decodeStoreIncarnation(b) }},
		{"counts", counts, counts.encode(), func(b []byte) (any, error) { return decodeCounts(b) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := tc.decode(tc.bytes)
			if err != nil || !reflect.DeepEqual(got, tc.in) {
				t.Fatalf("got %+v, %v", got, err)
			}
			for n := range tc.bytes {
				if _, err := tc.decode(tc.bytes[:n]); err == nil {
					t.Fatalf("cut to %d of %d bytes it was taken", n, len(tc.bytes))
				}
			}
			if _, err := tc.decode(append(bytes.Clone(tc.bytes), 0)); !errors.Is(err, ErrFormat) {
				t.Error("a byte too many was taken")
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
		t.Fatalf("%+v %v", f, err)
	}
	other := bytes.Clone(raw)
	other[0]++
	if _, err := readFrame(bytes.NewReader(other)); !errors.Is(err, ErrFormat) {
		t.Error("another version was taken")
	}
	long := bytes.Clone(raw)
	long[10] = 0xff
	if _, err := readFrame(bytes.NewReader(long)); !errors.Is(err, ErrFormat) {
		t.Error("a length past the limit was taken")
	}
	if err := writeFrame(&buf, frame{kindOffer, 1, make([]byte, maxPayloadBytes+1)}); !errors.Is(err, ErrFormat) {
		t.Error("a payload past the limit was sent")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeHeartbeat(report))
	f.Add(encodeOffer(&offer))
	f.Add(hearing.encode())
	wide := placement.Offer{Queues: offer.Queues}
	for range 700 { // a part of a fleet of 2,000
		wide.Candidates = append(wide.Candidates, offer.Candidates[0])
	}
	f.Add(encodeOffer(&wide))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeHeartbeat(b); err == nil {
			if again, err := decodeHeartbeat(encodeHeartbeat(r)); err != nil || again.Worker != r.Worker || len(again.Tasks) != len(r.Tasks) {
				t.Fatalf("report changed: %v", err)
			}
		}
		if o, err := decodeOffer(b); err == nil {
			if again, err := decodeOffer(encodeOffer(&o)); err != nil || len(again.Candidates) != len(o.Candidates) || len(again.Queues) != len(o.Queues) {
				t.Fatalf("offer changed: %v", err)
			}
		}
		decodePing(b)
		if h, err := decodeReachability(b); err == nil {
			if again, err := decodeReachability(h.encode()); err != nil || again != h {
				t.Fatalf("hearing changed: %v", err)
			}
		}
		decodeHeartbeatAnswer(b)
		decodePicks(b)
		decodeUserRequest(b)
		readFrame(bytes.NewReader(b))
	})
}
