package access

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rillflow/internal/identity"
	"rillflow/internal/keyring/keyringtest"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/rights"
	"rillflow/internal/settings"
)

// Being refused, however often, makes one slip of bounded size at a time; what it had
// no room for is counted; and one whose answer was lost is written again as it was.
func TestRefusalsAreBounded(t *testing.T) {
	var bodies []string
	answers := []int{503, 500, 200, 200}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := make([]byte, 1<<16)
		n, _ := r.Body.Read(b)
		bodies = append(bodies, string(b[:n]))
		w.WriteHeader(answers[len(bodies)-1])
		w.Write([]byte(`{"generation":3}`))
	}))
	defer srv.Close()
	var dial net.Dialer
	st := kvstore.New(kvstore.Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RequestsPerSecond: 1e3, Limits: kvstore.Limits{WritesPerSecond: 1e3, MaxValueBytes: 2 << 10}, Timeout: time.Second, Dial: dial.DialContext})
	set := &settings.Settings{Name: "host-0"}
	set.Operator.Access = settings.Access{Identities: "on", Audit: "on", CacheLifetime: 1, Rules: rights.Rules{}}
	d := New(set, st, keyringtest.New(t), slog.New(slog.DiscardHandler))
	refuse := func(n int) {
		for range n {
			d.recordRefusal(identity.Caller{}, rights.Request{Action: rights.Submit, Team: "museum", Priority: "urgent"}, "req-1", "no rule allows it")
		}
	}
	refuse(maxPendingRefusals + 1000)
	for i := range 4 {
		if err := d.writeBatch(context.Background()); (err == nil) != (answers[i] == 200) {
			t.Fatalf("write %d: %v", i, err)
		}
		if i < 2 {
			refuse(1) // meanwhile
		}
	}
	if bodies[0] != bodies[1] || bodies[1] != bodies[2] {
		t.Error("a slip of unknown fate was changed before it was written again")
	}
	if len(bodies[3]) > 4<<10 {
		t.Errorf("%d bytes", len(bodies[3]))
	}
	// 64 and the 1,000 that are counted, and what came meanwhile: each is either in a
	// slip, or waits, or is counted.
	if len(d.refusals.pending) >= maxPendingRefusals || d.refusals.omitted != 0 && d.refusals.omitted < 1000 || d.refusals.omitted > 1002 {
		t.Errorf("%d wait, %d are counted", len(d.refusals.pending), d.refusals.omitted)
	}
}

// Where identities are off anybody may do anything, and nothing is written.
func TestAllowsEverybody(t *testing.T) {
	d := New(&settings.Settings{Name: "host-0"}, nil, nil, slog.New(slog.DiscardHandler))
	req := httptest.NewRequest("GET", "/", nil)
	req.Header.Set("Authorization", "Bearer whatever")
	c, err := d.Identify(req)
	if err != nil || !d.Decide(c, rights.Request{Action: rights.Submit}).Allowed || !d.AllowsEverybody() {
		t.Errorf("%+v, %v", c, err)
	}
	if told, err := d.AuditCancellation(ledger.JobRecord{}, c, rights.Decision{}); told != nil || err != nil {
		t.Errorf("%v, %v", told, err)
	}
}
