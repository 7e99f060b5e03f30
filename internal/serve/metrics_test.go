package serve

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"rillflow/internal/kvstore"
	"rillflow/internal/settings"
)

// newIdleController returns a controller whose components do not run.
func newIdleController(t *testing.T) *controller {
	t.Helper()
	operator, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	config := &settings.Settings{Name: "n", Operator: operator, Facts: settings.Facts{
		Workers:   settings.WorkerTimings{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 40},
		Store:     settings.StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 16, TxnOps: 16},
		Resources: settings.ProcessLimits{MemoryMB: 64, Sockets: 100},
	}}
	controller, err := newController(config, TCP(time.Second), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return controller
}

func TestMetricsAreServedForEveryPriority(t *testing.T) {
	controller := newIdleController(t)
	recorder := httptest.NewRecorder()
	controller.routes().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/operator/metrics", nil))
	body, err := io.ReadAll(recorder.Body)
	if err != nil || recorder.Code != http.StatusOK {
		t.Fatalf("got status %d, error %v, want 200", recorder.Code, err)
	}
	for _, priority := range kvstore.Priorities() {
		if want := `rillflow_store_requests_total{priority="` + priority.String() + `"} 0`; !strings.Contains(string(body), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}

func TestMetricNamesFollowTheConventions(t *testing.T) {
	problems, err := testutil.CollectAndLint(metricsCollector{newIdleController(t)})
	if err != nil || len(problems) > 0 {
		t.Errorf("got lint problems %v, error %v, want none", problems, err)
	}
}

// Guards against request rates of the controllers that add up to more than the store's limit.
func TestRequestSharesStayWithinStoreLimit(t *testing.T) {
	for _, peers := range []int{0, 1, 2, 4, 6} {
		follower, leader := requestShares(100, peers)
		if total := leader + float64(peers)*follower; total > 100 || total < 80 {
			t.Errorf("%d peers: got %v requests a second in total, want 80 to 100", peers, total)
		}
	}
}
