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

// Guards against refused requests that fill the audit log. Refusals are written in one bounded
// batch at a time, further ones are only counted, and a batch whose response was lost is written
// again unchanged.
func TestRefusalsAreBounded(t *testing.T) {
	var bodies []string
	statuses := []int{503, 500, 200, 200}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buffer := make([]byte, 1<<16)
		n, _ := r.Body.Read(buffer)
		bodies = append(bodies, string(buffer[:n]))
		w.WriteHeader(statuses[len(bodies)-1])
		w.Write([]byte(`{"generation":3}`))
	}))
	defer server.Close()
	var dial net.Dialer
	store := kvstore.New(kvstore.Options{Addr: strings.TrimPrefix(server.URL, "http://"), RequestsPerSecond: 1e3, Limits: kvstore.Limits{WritesPerSecond: 1e3, MaxValueBytes: 2 << 10}, Timeout: time.Second, Dial: dial.DialContext})
	config := &settings.Settings{Name: "host-0"}
	config.Operator.Access = settings.Access{Identities: "on", Audit: "on", CacheLifetime: 1, Rules: rights.Rules{}}
	authorizer := New(config, store, keyringtest.New(t), slog.New(slog.DiscardHandler))
	refuse := func(count int) {
		for range count {
			authorizer.recordRefusal(identity.Caller{}, rights.Request{Action: rights.Submit, Team: "museum", Priority: "urgent"}, "req-1", "no rule allows it")
		}
	}
	refuse(maxPendingRefusals + 1000)
	for i := range 4 {
		if err := authorizer.writeBatch(context.Background()); (err == nil) != (statuses[i] == 200) {
			t.Fatalf("write %d: got error %v after status %d", i, err, statuses[i])
		}
		if i < 2 {
			refuse(1) // while the batch is pending
		}
	}
	if bodies[0] != bodies[1] || bodies[1] != bodies[2] {
		t.Error("a batch with unknown outcome was changed before it was written again")
	}
	if len(bodies[3]) > 4<<10 {
		t.Errorf("got a batch of %d bytes, want at most 4096", len(bodies[3]))
	}
	// 64 refusals were recorded, 1,000 were counted, and 2 came later. Each of them is written,
	// pending or counted.
	if len(authorizer.refusals.pending) >= maxPendingRefusals || authorizer.refusals.omitted != 0 && authorizer.refusals.omitted < 1000 || authorizer.refusals.omitted > 1002 {
		t.Errorf("got %d refusals pending and %d omitted", len(authorizer.refusals.pending), authorizer.refusals.omitted)
	}
}

// Guards against refusals and audit entries while identities and the audit log are off.
func TestIdentitiesAndAuditOff(t *testing.T) {
	authorizer := New(&settings.Settings{Name: "host-0"}, nil, nil, slog.New(slog.DiscardHandler))
	request := httptest.NewRequest("GET", "/", nil)
	request.Header.Set("Authorization", "Bearer whatever")
	caller, err := authorizer.Identify(request)
	if err != nil || !authorizer.Decide(caller, rights.Request{Action: rights.Submit}).Allowed || !authorizer.AllowsEverybody() {
		t.Errorf("got caller %+v, error %v, want everything allowed", caller, err)
	}
	if operations, err := authorizer.AuditCancellation(ledger.JobRecord{}, caller, rights.Decision{}); operations != nil || err != nil {
		t.Errorf("got audit operations %v, error %v, want none", operations, err)
	}
}
