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

// controller is a running controller.
type controller struct {
	settings      *settings.Settings
	store         *kvstore.Client
	elector       *election.Elector
	leader        *leader.Runner
	shard         *shard.Owner
	peers         *peer.Mesh
	memory        *pressure.Gauge
	users         http.Handler
	authorizer    *access.Door
	dataLoss      *dataloss.Detector
	replica       *replica.Replica
	cancellations *cancellation.Set
	broadcaster   *cancellation.Broadcaster
	connections   *connectionLimiter
	unknownEpochs chan uint64 // epochs that workers show and nobody knows
	log           *slog.Logger
	startedAt     time.Time
}

// Network is the network that a controller lives in.
type Network struct {
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
	// WallClock is the time of day, by which accepted jobs are stamped. It may be off from that
	// of other nodes; nil: the machine's. Durations are measured by the steady clock.
	WallClock func() time.Time
}

// TCP is the network of the machine.
func TCP(timeout time.Duration) Network {
	d := net.Dialer{Timeout: timeout}
	return Network{Dial: d.DialContext, Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }}
}

// Run serves until ctx ends.
func Run(ctx context.Context, set *settings.Settings, nw Network, log *slog.Logger) error {
	op, facts := set.Operator, set.Facts
	nodes := float64(1 + len(set.Members))
	day := nw.WallClock
	if day == nil {
		day = time.Now
	}
	d := &controller{settings: set, log: log, startedAt: time.Now(), unknownEpochs: make(chan uint64, 1)}
	// Any node may lead and then needs most of the budget; the rest is
	// shared. Spent in full by all, this stays at what the service allows.
	d.store = kvstore.New(kvstore.Options{
		Addr: set.Services.State, RequestsPerSecond: facts.State.RPS * 0.8 * 2 / (nodes + 1),
		Limits: storeLimits(facts.State), AnnouncedLimits: storeLimits(facts.State.Least()),
		Timeout: set.Report() / 2, Dial: nw.Dial,
	})
	cloud := fleet.NewCloudClient(set.Services.Cloud, facts.Cloud.RPS*0.8, set.Report(), nw.Dial)
	d.memory = pressure.New(uint64(op.Limits.Refuse*facts.Resources.MemoryMB*(1<<20)), set.Report()/16)
	types := fleet.NewCatalogue(cloud, 2*set.Lease(), log)
	d.replica = replica.New(int(op.Rebuild.Ends * facts.Resources.MemoryMB * (1 << 20)))
	d.dataLoss = dataloss.NewDetector(d.store, func(why string) { d.elector.EndTermForDataLoss(why) }, log)
	d.elector = election.New(election.Options{
		Store: d.store, Controller: set.Node, LeaseDuration: time.Duration(op.Lead.Grant * float64(set.Lease())), ShardOwners: func() []string { return d.shard.EligibleOwners(nil) },
		Detector: d.dataLoss, RemembersIncarnation: func() bool { return !d.replica.Empty() }, Log: log,
	})
	within := settings.Seconds(facts.Workers.CancelS)
	d.cancellations = cancellation.New(cancellation.Options{
		StopDeadline: within, Capacity: cancellation.Capacity(facts.State.WriteRPS, within), Peers: set.Others(),
		StoreUnavailable: func() bool { return d.shard.StoreRefuses() }, Now: time.Now,
	})
	d.shard = shard.New(set, d.elector.ShardMap, d.store.SinceLastAnswer, d.cancellations, time.Now)
	var tls *certs.Keeper
	if op.TLS.On() {
		var err error
		if tls, err = certs.Load(op.TLS.Folder, set.Node, log); err != nil {
			return err
		}
	}
	d.peers = peer.NewMesh(set.Members, d, set.Report()/6, int(op.Limits.Sockets*float64(facts.Resources.Sockets)/2), dial(set, tls, nw.Dial), log)
	d.shard.SetPeerLinks(d.peers)
	var ring *keyring.Ring
	if a := &op.Access; a.Identified() || a.Audited() {
		var err error
		if ring, err = keyring.Load(a.Keys); err != nil {
			return err
		}
	}
	d.authorizer = access.New(set, d.store, ring, log)
	kept := ring
	if !op.Access.Audited() {
		kept = nil
	}
	d.leader = leader.New(leader.Options{
		Settings: set, Store: d.store, Cloud: cloud, WorkerClient: agent.NewCommandClient(set.Report(), int(idleWorkerConnections*float64(facts.Resources.Sockets)), nw.Dial), Elector: d.elector,
		InstanceTypes: types, Shards: d.shard, MemoryFull: d.memory.High, AuditKeys: kept, DataLoss: d.dataLoss, Replica: d.replica, ReplicaPeers: d.peers, Cancellations: d.cancellations, Log: log,
	})
	d.broadcaster = &cancellation.Broadcaster{Controller: set.Node, Cancellations: d.cancellations, Link: d.peers, LocalLeader: d.leader, InitialBackoff: set.Report() / 256, CurrentLeader: d.readLeader}
	mux := http.NewServeMux()
	intake.New(set, d.store, types, d.lookupTaskCounts, d.shard.StoreRefuses, d.memory.High, d.authorizer, d, d.replica, d.broadcaster, day, log).Routes(mux)
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
	d.connections = newConnectionLimiter(places)
	front = netutil.LimitListener(front, places)
	if tls != nil {
		front, back = tls.Listen(front, op.TLS.Front, false), tls.Listen(back, op.TLS.Back, true)
	}
	srv := &http.Server{
		Handler: d.routes(), ReadHeaderTimeout: 2 * set.Report(), IdleTimeout: 2 * set.Lease(),
		ConnState: d.connections.track, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	var keep *snapshot.Folder
	if op.Rebuild.Folder != "" {
		keep = &snapshot.Folder{Dir: filepath.Join(op.Rebuild.Folder, set.Node), Deployment: set.Deployment(), Steps: op.Rebuild.Steps, Wholes: op.Rebuild.Wholes}
		d.loadSnapshot(keep)
	}
	g, gctx := errgroup.WithContext(ctx)
	if keep != nil {
		g.Go(func() error {
			return keep.Keep(gctx, d.replica, time.Duration(op.Rebuild.Every*float64(set.Lease())), log)
		})
	}
	g.Go(func() error { return srv.Serve(front) })
	if tls != nil {
		g.Go(func() error { return tls.Watch(gctx, set.Lease()) })
	}
	g.Go(func() error { <-gctx.Done(); return srv.Close() })
	g.Go(func() error { return d.peers.Run(gctx, back) })
	g.Go(func() error { return types.Run(gctx) })
	g.Go(func() error { return d.dataLoss.Run(gctx, set.Lease()/2) })
	g.Go(func() error { return d.verifyUnknownEpochs(gctx) })
	g.Go(func() error { return d.elector.WatchShardMap(gctx) })
	g.Go(func() error { return d.elector.Run(gctx, d.leader.Serve) })
	g.Go(func() error { return d.probeStore(gctx) })
	g.Go(func() error { return d.authorizer.Run(gctx, set.Report()) })
	if ring != nil {
		g.Go(func() error { return ring.Follow(gctx, set.Lease(), log) })
	}
	log.Info("serving", "front", set.Front, "back", set.Back)
	return g.Wait()
}

// loadSnapshot takes what the newest snapshot holds for what this node remembers. Should the
// state service hold it too, that costs nothing.
func (controller *controller) loadSnapshot(f *snapshot.Folder) {
	c, err := f.Load()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		controller.log.Error("no snapshot is read", "err", err)
	}
	for _, r := range c.Refused {
		controller.log.Error("a snapshot is refused", "file", r.File, "why", r.Err)
	}
	if c.Last == nil {
		return
	}
	controller.log.Info("snapshot", "files", c.Files, "history", c.Last.Incarnation, "generation", c.Last.Revision, "keys", c.Tree.Len(), "age_s", time.Since(c.Last.At).Seconds())
	controller.elector.ObserveEpoch(c.Last.Epoch)
	controller.replica.LoadPrevious(c.Tree)
}

// dial is how other controllers are reached: with TLS, each must show its name.
func dial(set *settings.Settings, tls *certs.Keeper, plain peer.DialFunc) peer.DialFunc {
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

// idleWorkerConnections is how many connections to workers are kept open unused, as a ratio
// to the sockets: the front has most of those.
const idleWorkerConnections = 0.1

// storeLimits is what a controller may use of the state service at a time: nearly
// all, for any may lead.
func storeLimits(s settings.State) kvstore.Limits {
	return kvstore.Limits{WritesPerSecond: s.WriteRPS * 0.8, MaxValueBytes: int(s.ValueKB * 1024)}
}

// probeStore sees to it that this node knows whether the state service answers it.
func (controller *controller) probeStore(ctx context.Context) error {
	every := controller.settings.Report() / 4
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if controller.shard.IsIsolated() && !controller.leader.NoWorkersOfOwn() {
			// Another leads and answers the workers meanwhile.
			controller.elector.StepDown(controller.settings.Lease(), "workers reach others but not this node")
		}
		if controller.store.SinceLastAnswer() >= every {
			controller.store.Probe(ctx)
		}
	}
}
