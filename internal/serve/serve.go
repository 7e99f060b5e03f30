// Package serve puts the duties of a controller together and runs them.
package serve

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"rillflow/internal/access"
	"rillflow/internal/agent"
	"rillflow/internal/cancellation"
	"rillflow/internal/certs"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/fleet"
	"rillflow/internal/intake"
	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/leader"
	"rillflow/internal/peer"
	"rillflow/internal/pressure"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/shard"
	"rillflow/internal/snapshot"
)

// Version is the program's version.
const Version = "0.6.0"

// daemon is a running controller.
type daemon struct {
	set     *settings.Settings
	st      *kvstore.Client
	el      *election.Elector
	control *leader.Runner
	part    *shard.Owner
	mesh    *peer.Mesh
	memory  *pressure.Gauge
	users   http.Handler
	door    *access.Door
	hist    *dataloss.Detector
	copies  *replica.Replica
	gone    *cancellation.Set
	teller  *cancellation.Broadcaster
	crowd   *crowd
	asks    chan uint64 // epochs that workers show and nobody knows
	log     *slog.Logger
	began   time.Time
}

// Net is the network that a controller lives in.
type Net struct {
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
	// Day is the time of day, by which accepted jobs are stamped. It may be off from that
	// of other nodes; nil: the machine's. Durations are measured by the steady clock.
	Day func() time.Time
}

// TCP is the network of the machine.
func TCP(timeout time.Duration) Net {
	d := net.Dialer{Timeout: timeout}
	return Net{Dial: d.DialContext, Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }}
}

// Run serves until ctx ends.
func Run(ctx context.Context, set *settings.Settings, nw Net, log *slog.Logger) error {
	op, facts := set.Operator, set.Facts
	nodes := float64(1 + len(set.Members))
	day := nw.Day
	if day == nil {
		day = time.Now
	}
	d := &daemon{set: set, log: log, began: time.Now(), asks: make(chan uint64, 1)}
	// Any node may lead and then needs most of the budget; the rest is
	// shared. Spent in full by all, this stays at what the service allows.
	d.st = kvstore.New(kvstore.Options{
		Addr: set.Services.State, RequestsPerSecond: facts.State.RPS * 0.8 * 2 / (nodes + 1),
		Limits: limits(facts.State), AnnouncedLimits: limits(facts.State.Least()),
		Timeout: set.Report() / 2, Dial: nw.Dial,
	})
	cloud := fleet.NewCloudClient(set.Services.Cloud, facts.Cloud.RPS*0.8, set.Report(), nw.Dial)
	d.memory = pressure.New(uint64(op.Limits.Refuse*facts.Resources.MemoryMB*(1<<20)), set.Report()/16)
	types := fleet.NewCatalogue(cloud, 2*set.Lease(), log)
	d.copies = replica.New(int(op.Rebuild.Ends * facts.Resources.MemoryMB * (1 << 20)))
	d.hist = dataloss.NewDetector(d.st, func(why string) { d.el.EndTermForDataLoss(why) }, log)
	d.el = election.New(election.Options{
		Store: d.st, Controller: set.Node, LeaseDuration: time.Duration(op.Lead.Grant * float64(set.Lease())), ShardOwners: func() []string { return d.part.EligibleOwners(nil) },
		Detector: d.hist, RemembersIncarnation: func() bool { return !d.copies.Empty() }, Log: log,
	})
	within := settings.Seconds(facts.Workers.CancelS)
	d.gone = cancellation.New(cancellation.Options{
		StopDeadline: within, Capacity: cancellation.Capacity(facts.State.WriteRPS, within), Peers: set.Others(),
		StoreUnavailable: func() bool { return d.part.StoreRefuses() }, Now: time.Now,
	})
	d.part = shard.New(set, d.el.ShardMap, d.st.SinceLastAnswer, d.gone, time.Now)
	var tls *certs.Keeper
	if op.TLS.On() {
		var err error
		if tls, err = certs.Load(op.TLS.Folder, set.Node, log); err != nil {
			return err
		}
	}
	d.mesh = peer.NewMesh(set.Members, d, set.Report()/6, int(op.Limits.Sockets*float64(facts.Resources.Sockets)/2), dial(set, tls, nw.Dial), log)
	d.part.SetPeerLinks(d.mesh)
	var ring *keyring.Ring
	if a := &op.Access; a.Identified() || a.Audited() {
		var err error
		if ring, err = keyring.Load(a.Keys); err != nil {
			return err
		}
	}
	d.door = access.New(set, d.st, ring, log)
	kept := ring
	if !op.Access.Audited() {
		kept = nil
	}
	d.control = leader.New(leader.Options{
		Settings: set, Store: d.st, Cloud: cloud, WorkerClient: agent.NewCommandClient(set.Report(), int(idleWorkers*float64(facts.Resources.Sockets)), nw.Dial), Elector: d.el,
		InstanceTypes: types, Shards: d.part, MemoryFull: d.memory.High, AuditKeys: kept, DataLoss: d.hist, Replica: d.copies, ReplicaPeers: d.mesh, Cancellations: d.gone, Log: log,
	})
	d.teller = &cancellation.Broadcaster{Controller: set.Node, Cancellations: d.gone, Link: d.mesh, LocalLeader: d.control, InitialBackoff: set.Report() / 256, CurrentLeader: d.leads}
	mux := http.NewServeMux()
	intake.New(set, d.st, types, d.counts, d.part.StoreRefuses, d.memory.High, d.door, d, d.copies, d.teller, day, log).Routes(mux)
	d.users = mux

	front, err := nw.Listen(set.Front)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	back, err := nw.Listen(set.Back)
	if err != nil {
		front.Close()
		return fmt.Errorf("back: %w", err)
	}
	places := int(op.Limits.Sockets * float64(facts.Resources.Sockets))
	d.crowd = newCrowd(places)
	front = netutil.LimitListener(front, places)
	if tls != nil {
		front, back = tls.Listen(front, op.TLS.Front, false), tls.Listen(back, op.TLS.Back, true)
	}
	srv := &http.Server{
		Handler: d.routes(), ReadHeaderTimeout: 2 * set.Report(), IdleTimeout: 2 * set.Lease(),
		ConnState: d.crowd.note, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	var keep *snapshot.Folder
	if op.Rebuild.Folder != "" {
		keep = &snapshot.Folder{Dir: filepath.Join(op.Rebuild.Folder, set.Node), Deployment: set.Deployment(), Steps: op.Rebuild.Steps, Wholes: op.Rebuild.Wholes}
		d.recall(keep)
	}
	g, gctx := errgroup.WithContext(ctx)
	if keep != nil {
		g.Go(func() error {
			return keep.Keep(gctx, d.copies, time.Duration(op.Rebuild.Every*float64(set.Lease())), log)
		})
	}
	g.Go(func() error { return srv.Serve(front) })
	if tls != nil {
		g.Go(func() error { return tls.Watch(gctx, set.Lease()) })
	}
	g.Go(func() error { <-gctx.Done(); return srv.Close() })
	g.Go(func() error { return d.mesh.Run(gctx, back) })
	g.Go(func() error { return types.Run(gctx) })
	g.Go(func() error { return d.hist.Run(gctx, set.Lease()/2) })
	g.Go(func() error { return d.outdone(gctx) })
	g.Go(func() error { return d.el.WatchShardMap(gctx) })
	g.Go(func() error { return d.el.Run(gctx, d.control.Serve) })
	g.Go(func() error { return d.probe(gctx) })
	g.Go(func() error { return d.door.Run(gctx, set.Report()) })
	if ring != nil {
		g.Go(func() error { return ring.Follow(gctx, set.Lease(), log) })
	}
	log.Info("serving", "front", set.Front, "back", set.Back)
	return g.Wait()
}

// recall takes what the newest snapshot holds for what this node remembers. Should the
// state service hold it too, that costs nothing.
func (d *daemon) recall(f *snapshot.Folder) {
	c, err := f.Load()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		d.log.Error("no snapshot is read", "err", err)
	}
	for _, r := range c.Refused {
		d.log.Error("a snapshot is refused", "file", r.File, "why", r.Err)
	}
	if c.Last == nil {
		return
	}
	d.log.Info("snapshot", "files", c.Files, "history", c.Last.Incarnation, "generation", c.Last.Revision, "keys", c.Tree.Len(), "age_s", time.Since(c.Last.At).Seconds())
	d.el.ObserveEpoch(c.Last.Epoch)
	d.copies.LoadPrevious(c.Tree)
}

// dialer makes connections.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// dial is how other controllers are reached: with TLS, each must show its name.
func dial(set *settings.Settings, tls *certs.Keeper, plain dialer) dialer {
	if m := set.Operator.TLS.Back; tls == nil || m == certs.Off || m == certs.Accept {
		return plain
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		for _, m := range set.Members {
			if m.Endpoint == addr {
				return tls.Dial(ctx, c, m.Node)
			}
		}
		c.Close()
		return nil, fmt.Errorf("%s is no member", addr)
	}
}

// idleWorkers is how many connections to workers are kept open unused, as a ratio
// to the sockets: the front has most of those.
const idleWorkers = 0.1

// limits is what a controller may use of the state service at a time: nearly
// all, for any may lead.
func limits(s settings.State) kvstore.Limits {
	return kvstore.Limits{WritesPerSecond: s.WriteRPS * 0.8, MaxValueBytes: int(s.ValueKB * 1024)}
}

// probe sees to it that this node knows whether the state service answers it.
func (d *daemon) probe(ctx context.Context) error {
	every := d.set.Report() / 4
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if d.part.IsIsolated() && !d.control.NoWorkersOfOwn() {
			// Another leads and answers the workers meanwhile.
			d.el.StepDown(d.set.Lease(), "workers reach others but not this node")
		}
		if d.st.SinceLastAnswer() >= every {
			d.st.Probe(ctx)
		}
	}
}
