// Package serve puts the duties of a controller together and runs them.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"rillflow/internal/agent"
	"rillflow/internal/control"
	"rillflow/internal/fleet"
	"rillflow/internal/intake"
	"rillflow/internal/lead"
	"rillflow/internal/settings"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// daemon is a running controller.
type daemon struct {
	set     *settings.Settings
	st      *state.Client
	el      *lead.Elector
	control *control.Control
	log     *slog.Logger
	began   time.Time
}

// Run serves until ctx ends.
func Run(ctx context.Context, set *settings.Settings, log *slog.Logger) error {
	op, facts := set.Operator, set.Facts
	debug.SetMemoryLimit(int64(op.Limits.Memory * facts.Resources.MemoryMB * (1 << 20)))
	nodes := float64(1 + len(set.Members))
	// Any node may lead and then needs most of the budget; the rest is
	// shared. Spent in full by all, this stays at what the service allows.
	st := state.New(state.Options{
		Addr: set.Services.State, RPS: facts.State.RPS * 0.8 * 2 / (nodes + 1), WriteRPS: facts.State.WriteRPS * 0.8,
		Timeout: set.Report() / 2,
	})
	cloud := fleet.NewCloud(set.Services.Cloud, facts.Cloud.RPS*0.8, set.Report())
	types := fleet.NewCatalogue(cloud, 2*set.Lease(), log)
	el := lead.New(st, set.Node, time.Duration(op.Lead.Grant*float64(set.Lease())), log)
	ctl := control.New(control.Deps{
		Settings: set, State: st, Cloud: cloud, Direct: agent.NewDirect(set.Report()), Elector: el, Types: types, Log: log,
	})
	users := intake.New(set, st, types, func(ref string) (int, int, bool) {
		c, ok := ctl.Counts(ref)
		return c.Done, c.Running, ok
	}, log)
	d := &daemon{set: set, st: st, el: el, control: ctl, log: log, began: time.Now()}

	mux := http.NewServeMux()
	users.Routes(mux)
	mux.HandleFunc("GET /healthz", d.health)
	mux.HandleFunc("POST /agent/beat", d.beat)
	mux.HandleFunc("GET /operator/status", d.status)

	ln, err := net.Listen("tcp", set.Front)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: 2 * set.Report(), IdleTimeout: 2 * set.Lease(),
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return srv.Serve(netutil.LimitListener(ln, int(op.Limits.Sockets*float64(facts.Resources.Sockets))))
	})
	g.Go(func() error { <-gctx.Done(); return srv.Close() })
	g.Go(func() error { return types.Run(gctx) })
	g.Go(func() error { return el.Run(gctx, ctl.Serve) })
	log.Info("serving", "node", set.Node, "front", set.Front)
	return g.Wait()
}

// health answers the load balancer.
func (d *daemon) health(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, struct{}{})
}

// beat answers a worker's report, or sends it to the leader.
func (d *daemon) beat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, agent.MaxBody))
	var rep wire.Report
	if err == nil {
		err = json.Unmarshal(body, &rep)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed report"})
		return
	}
	out, err := d.control.Beat(r.Context(), &rep)
	if err == nil {
		reply(w, http.StatusOK, out)
		return
	}
	if l := d.el.Leader(); l != "" && l != d.set.Node {
		reply(w, http.StatusMisdirectedRequest, wire.Steward{Steward: l})
		return
	}
	reply(w, http.StatusServiceUnavailable, wire.Error{Error: "no leader"})
}

// Status is what the operator's status page tells.
type Status struct {
	Node     string        `json:"node"`
	Leader   string        `json:"leader"`
	UpS      float64       `json:"up_s"`
	StateS   float64       `json:"state_silent_s"`
	Requests int64         `json:"state_requests"`
	View     *control.View `json:"view,omitempty"`
}

func (d *daemon) status(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, Status{
		Node: d.set.Node, Leader: d.el.Leader(), UpS: time.Since(d.began).Seconds(),
		StateS: d.st.SinceOK().Seconds(), Requests: d.st.Requests(), View: d.control.View(),
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}
