package snapshot

import (
	"reflect"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/replica"
)

// A stored snapshot must stay readable. The encoded bytes aren't compared, as they may change
// with the compressor.
func TestGoldenFile(t *testing.T) {
	want := goldentest.Filled[Snapshot]()
	want.At = time.UnixMilli(1_764_600_000_123)
	want.Entries = []replica.Entry{{Key: "c/req-1/0", Data: []byte("{}")}, {Key: "j/req-1"}}
	sum := Sum{}
	data := goldentest.Read(t, "file", func() []byte {
		encoded := want
		data, err := encoded.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return data
	})
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	copy(sum[:], data[len(data)-len(sum):])
	want.Sum = sum
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("decoded as\n%+v\nwant\n%+v", *got, want)
	}
}
