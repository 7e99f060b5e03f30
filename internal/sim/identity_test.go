package sim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/certs"
	"rillflow/internal/identity"
	"rillflow/internal/wire"
)

const accessXML = `<rillflow><access><identities>on</identities><audit>on</audit><keys>%s</keys>
<allow who="known" do="read" owner="*"/>
<allow who="role:curator" do="submit withdraw need" owner="own"/>
<allow who="role:guest" do="submit withdraw need" owner="own" rank="idle"/>
</access><tls><folder>%s</folder><back>require</back><front>accept</front></tls></rillflow>`

// Guards against gaps in access control on whole controllers that use TLS among one
// another. A guest cannot exceed its priority by any request, a revoked token is refused by
// every controller, also by one that the store refused during the revocation, and the audit
// log holds who did what and who was refused.
func TestIdentities(t *testing.T) {
	ring, path := newKeyring(t)
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		err := certs.MakeAuthority(folder, "sim", time.Hour)
		for n := range controllerCount {
			err = errors.Join(err, certs.MakeCertificate(folder, fmt.Sprintf("host-%d", n), nil, time.Hour))
		}
		if err != nil {
			t.Fatal(err)
		}
		ctx, w, store, _, _, end := startWorld(t, 5, 24, 3, fmt.Sprintf(accessXML, path, folder))
		admin := &identity.Admin{Store: store, Ring: ring, Actor: "root", Audited: true, Now: time.Now}
		token := func(name, team, role string) string {
			s, err := admin.Issue(ctx, name, identity.Record{Kind: "person", Teams: []string{team}, Roles: []string{role}}, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		ana, gus := token("ana", "a", "curator"), token("gus", "b", "guest")
		time.Sleep(30 * time.Second)
		client := &http.Client{Transport: &http.Transport{DialContext: w.net.forHost("user").Dial, DisableKeepAlives: true}}
		// request retries until it gets a response other than 503.
		request := func(controller int, token, method, path string, body any) int {
			data, _ := json.Marshal(body)
			for range 20 {
				requestCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
				req, _ := http.NewRequestWithContext(requestCtx, method, "http://"+frontAddress(controller)+path, strings.NewReader(string(data)))
				if token != "" {
					req.Header.Set("Authorization", "Bearer "+token)
				}
				res, err := client.Do(req)
				if err == nil {
					io.Copy(io.Discard, res.Body)
					res.Body.Close()
				}
				cancel()
				if err == nil && res.StatusCode != 503 {
					return res.StatusCode
				}
				time.Sleep(time.Second)
			}
			return 0
		}
		jobBody := func(jobID, team, priority string, dependencies ...string) map[string]any {
			w.mu.Lock()
			w.jobs[jobID] = wire.Job{ID: jobID, Team: team, Kind: wire.KindArray, TaskCount: 1, CPUs: 1, ExpectedSeconds: 30, DependsOn: dependencies}
			w.mu.Unlock()
			return map[string]any{"ref": jobID, "jobclass": "c", "owner": team, "shape": "batch", "rank": priority, "members": 1, "cores": 1, "accelerators": 0, "ram_gb": 1,
				"bundle": "img", "size_gb": 1, "same_place": false, "scatter": false, "loaners": true, "expect_s": 30, "snapshot_s": 0, "flush_s": 0, "waits_on": dependencies}
		}
		for i, tc := range []struct {
			name         string
			token        string
			method, path string
			body         any
			want         int
		}{
			{"anonymous user may not submit", "", "POST", "/v1/jobs", jobBody("req-1", "a", "idle"), 403},
			{"curator may submit for her team", ana, "POST", "/v1/jobs", jobBody("req-2", "a", "urgent"), 201},
			{"curator may not submit for another team", ana, "POST", "/v1/jobs", jobBody("req-3", "b", "idle"), 403},
			{"guest may not submit above its priority", gus, "POST", "/v1/jobs", jobBody("req-4", "b", "standard"), 403},
			{"guest may submit at its priority", gus, "POST", "/v1/jobs", jobBody("req-5", "b", "idle"), 201},
			{"guest may not depend on another's job, which would raise its priority", gus, "POST", "/v1/jobs", jobBody("req-6", "b", "idle", "req-2"), 403},
			{"guest may not cancel another's job", gus, "POST", "/v1/jobs/req-2/withdraw", nil, 403},
			{"guest may read another's job", gus, "GET", "/v1/jobs/req-2", nil, 200},
			{"anonymous user may not read", "", "GET", "/v1/jobs/req-2", nil, 403},
			{"unknown token", "rft_aaaaaaaa_bbbbbbbb", "GET", "/v1/jobs/req-2", nil, 401},
			{"token with another's secret", ana[:13] + gus[13:], "GET", "/v1/jobs/req-2", nil, 401},
			{"resubmission is answered with the job's phase", ana, "POST", "/v1/jobs", jobBody("req-2", "a", "urgent"), 200},
			{"curator may cancel her own job", ana, "POST", "/v1/jobs/req-2/withdraw", nil, 200},
		} {
			if got := request(i%controllerCount, tc.token, tc.method, tc.path, tc.body); got != tc.want {
				t.Errorf("%s: got status %d, want %d", tc.name, got, tc.want)
			}
		}

		// The guest's token is revoked while the store refuses one controller.
		setRefused := func(refused bool) {
			store.mu.Lock()
			defer store.mu.Unlock()
			store.refusedControllers["host-1"] = refused
			store.cond.Broadcast()
		}
		setRefused(true)
		time.Sleep(time.Second)
		if err := admin.Revoke(ctx, "gus"); err != nil {
			t.Fatal(err)
		}
		for n, when := range []string{"refused by the store", "refused by the store for a lease", "served by the store again"} {
			if got := request(1, gus, "POST", "/v1/jobs", jobBody(fmt.Sprintf("req-1%d", n), "b", "idle")); got == 200 || got == 201 {
				t.Errorf("%s: a revoked token was answered with status %d, want an error", when, got)
			}
			time.Sleep([]time.Duration{leaseDuration, 0, 0}[n])
			if n == 1 {
				setRefused(false)
			}
		}
		if got := request(0, gus, "GET", "/v1/jobs/req-5", nil); got != 401 {
			t.Errorf("a revoked token was answered with status %d, want 401", got)
		}
		newToken, err := admin.Rotate(ctx, "ana", time.Hour, 0)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * heartbeatInterval)
		if oldStatus, newStatus := request(2, ana, "GET", "/v1/jobs/req-2", nil), request(2, newToken, "GET", "/v1/jobs/req-2", nil); oldStatus != 401 || newStatus != 200 {
			t.Errorf("after a rotation, the old token was answered with status %d, want 401, and the new one with %d, want 200", oldStatus, newStatus)
		}
		time.Sleep(60 * time.Second)
		end()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		history, _ := readAuditLog(t, w, ring)
		if s := history.Jobs["req-2"]; s == nil || s.Accepted == nil || s.Accepted.Actor != "ana" || s.Cancelled == nil || s.Cancelled.Actor != "ana" {
			t.Errorf("req-2 is logged as %+v, want ana to accept and cancel it", s)
		}
		for jobID, who := range map[string]string{"req-1": "", "req-3": "ana", "req-4": "gus", "req-6": "gus"} {
			if s := history.Jobs[jobID]; s == nil || len(s.Refused) == 0 || s.Refused[0].Actor != who || s.Accepted != nil {
				t.Errorf("%s, refused to %q, is logged as %+v", jobID, who, s)
			}
		}
		actionCounts := make(map[string]int)
		for _, e := range history.Others {
			actionCounts[e.Action.String()+" "+e.Subject]++
		}
		if actionCounts[audit.Issued.String()+" gus"] != 1 || actionCounts[audit.Revoked.String()+" gus"] < 1 || actionCounts[audit.Revoked.String()+" ana"] != 1 {
			t.Errorf("changes of identities are logged as %v", actionCounts)
		}
	})
}
