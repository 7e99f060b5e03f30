package serve

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

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
)

// Shares and intervals of a controller's parts.
const (
	// usableShare of a limit of the platform is what a controller uses at a time: nearly
	// all, for any controller may lead.
	usableShare = 0.8
	// requestShare of the store's request rate is what all controllers use together.
	requestShare = 0.9
	// leaderWeight is the leader's part of it, as a multiple of a follower's.
	leaderWeight = 2
	// idleWorkerConnections is how many connections to workers are kept open unused, as a
	// ratio to the sockets: the front has most of those.
	idleWorkerConnections = 0.1
	// pingsPerHeartbeat is how often peers are pinged within a heartbeat interval.
	pingsPerHeartbeat = 6
	// memoryChecksPerHeartbeat is how often the memory held is read within one.
	memoryChecksPerHeartbeat = 16
	// broadcastBackoffsPerHeartbeat is how many first delays of the cancellation broadcast
	// make up one.
	broadcastBackoffsPerHeartbeat = 256

	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
)

// controller is a running controller: its parts, made by newController and not changed
// after. Each is safe for concurrent use.
type controller struct {
	settings      *settings.Settings
	network       Network
	store         *kvstore.Client
	cloud         *fleet.CloudClient
	types         *fleet.Catalogue
	elector       *election.Elector
	leader        *leader.Runner
	shard         *shard.Owner
	peers         *peer.Mesh
	memory        *pressure.Gauge
	users         http.Handler  // the job API
	jobs          *intake.API   // what users serves
	certs         *certs.Keeper // nil: no address has TLS
	keys          *keyring.Ring // nil: neither identities nor the audit log are on
	authorizer    *access.Authorizer
	dataLoss      *dataloss.Detector
	replica       *replica.Replica
	cancellations *cancellation.Set
	broadcaster   *cancellation.Broadcaster
	connections   *connectionLimiter // set when the addresses are listened at
	unknownEpochs chan uint64        // epochs that workers show and this controller does not know
	log           *slog.Logger
	startedAt     time.Time
}

// newController makes a controller's parts and connects them. Nothing runs yet. Some parts
// ask others that are made after them; they do so only once all run.
func newController(settings *settings.Settings, network Network, log *slog.Logger) (*controller, error) {
	controller := &controller{
		settings: settings, network: network, log: log, startedAt: time.Now(), unknownEpochs: make(chan uint64, 1),
	}
	controller.connectPlatform()
	controller.connectElection()
	if err := controller.loadCertificates(); err != nil {
		return nil, err
	}
	controller.connectPeers()
	if err := controller.loadKeys(); err != nil {
		return nil, err
	}
	controller.authorizer = access.New(settings, controller.store, controller.keys, log)
	controller.connectLeader()
	controller.connectUsers()
	return controller, nil
}

// connectPlatform makes the clients of the store and the cloud, and what keeps their data.
func (controller *controller) connectPlatform() {
	set, limits := controller.settings, controller.settings.Facts
	followerRate, leaderRate := requestShares(limits.Store.RPS, len(set.Peers))
	controller.store = kvstore.New(kvstore.Options{
		Addr: set.Services.Store,
		// The leader and the followers together stay within what the store allows.
		RequestsPerSecond: followerRate, LeaderRequestsPerSecond: leaderRate,
		HoldsLease: func() bool { return controller.elector.LeaseHeld() },
		Limits:     storeLimits(limits.Store), AnnouncedLimits: storeLimits(limits.Store.Lowest()),
		Timeout: set.HeartbeatInterval() / 2, Dial: controller.network.Dial, Log: controller.log,
	})
	cloudRate := limits.Cloud.RPS * usableShare
	controller.cloud = fleet.NewCloudClient(
		set.Services.Cloud, cloudRate, set.HeartbeatInterval(), controller.network.Dial)
	memory := limits.Resources.MemoryMB * bytesPerMB
	refuseAbove := uint64(set.Operator.Limits.RefuseAbove * memory)
	controller.memory = pressure.New(refuseAbove, set.HeartbeatInterval()/memoryChecksPerHeartbeat)
	controller.types = fleet.NewCatalogue(controller.cloud, 2*set.WorkerLease(), controller.log)
	controller.replica = replica.New(int(set.Operator.Recovery.FinishedJobsMemory * memory))
}

// requestShares are the request rates of a follower and of the leader where the store allows so
// many requests a second to a controller and its peers together.
func requestShares(allowed float64, peers int) (follower, leader float64) {
	follower = allowed * requestShare / float64(leaderWeight+peers)
	return follower, leaderWeight * follower
}

// storeLimits is what a controller may use of the store at a time.
func storeLimits(limits settings.StoreLimits) kvstore.Limits {
	return kvstore.Limits{
		WritesPerSecond: limits.WriteRPS * usableShare, MaxValueBytes: int(limits.ValueKB * bytesPerKB),
	}
}

// connectElection makes what decides who leads, who owns which shard, and whether either
// may still be trusted.
func (controller *controller) connectElection() {
	set := controller.settings
	controller.dataLoss = dataloss.NewDetector(controller.store, func(reason string) {
		controller.elector.EndTermForDataLoss(reason)
	}, controller.log)
	controller.elector = election.New(election.Options{
		Store: controller.store, Controller: set.Name,
		LeaseDuration:        time.Duration(set.Operator.Election.LeaseRatio * float64(set.WorkerLease())),
		ShardOwners:          func() []string { return controller.shard.EligibleOwners(nil) },
		Detector:             controller.dataLoss,
		RemembersIncarnation: func() bool { return !controller.replica.Empty() },
		Log:                  controller.log,
	})
	stopDeadline := settings.Seconds(set.Facts.Workers.CancelSeconds)
	controller.cancellations = cancellation.New(cancellation.Options{
		StopDeadline:     stopDeadline,
		Capacity:         cancellation.Capacity(set.Facts.Store.WriteRPS, stopDeadline),
		Peers:            set.PeerNames(),
		StoreUnavailable: func() bool { return controller.shard.StoreRefuses() },
		Now:              time.Now,
	})
	controller.shard = shard.New(
		set, controller.elector.ShardMap, controller.store.SinceLastAnswer, controller.cancellations, time.Now)
}

// loadCertificates reads the certificates where either address has TLS.
func (controller *controller) loadCertificates() error {
	tls := controller.settings.Operator.TLS
	if !tls.Enabled() {
		return nil
	}
	keeper, err := certs.Load(tls.Folder, controller.settings.Name, controller.log)
	controller.certs = keeper
	return err
}

// connectPeers makes the links to the other controllers.
func (controller *controller) connectPeers() {
	set := controller.settings
	controller.peers = peer.NewMesh(set.Peers, peerHandler{controller}, set.HeartbeatInterval()/pingsPerHeartbeat,
		controller.frontConnections()/2, controller.dialPeer(), controller.log)
	controller.shard.SetPeerLinks(controller.peers)
}

// dialPeer returns how other controllers are reached: with TLS, each must show its name.
func (controller *controller) dialPeer() peer.DialFunc {
	plain := controller.network.Dial
	mode := controller.settings.Operator.TLS.Peers
	if controller.certs == nil || mode == certs.Off || mode == certs.Accept {
		return plain
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := plain(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		for _, member := range controller.settings.Peers {
			if member.Endpoint == addr {
				return controller.certs.Dial(ctx, conn, member.Name)
			}
		}
		conn.Close()
		return nil, fmt.Errorf("%s is no member", addr)
	}
}

// loadKeys reads the operator's keys where identities or the audit log need them.
func (controller *controller) loadKeys() error {
	access := &controller.settings.Operator.Access
	if !access.IdentitiesEnabled() && !access.AuditEnabled() {
		return nil
	}
	keys, err := keyring.Load(access.Keys)
	controller.keys = keys
	return err
}

// connectLeader makes the leader's runtime, idle until this controller is elected.
func (controller *controller) connectLeader() {
	set := controller.settings
	auditKeys := controller.keys
	if !set.Operator.Access.AuditEnabled() {
		auditKeys = nil
	}
	idle := int(idleWorkerConnections * float64(set.Facts.Resources.Sockets))
	controller.leader = leader.New(leader.Options{
		Settings:      set,
		Store:         controller.store,
		Cloud:         controller.cloud,
		WorkerClient:  agent.NewCommandClient(set.HeartbeatInterval(), idle, controller.network.Dial),
		Elector:       controller.elector,
		InstanceTypes: controller.types,
		Shards:        controller.shard,
		MemoryFull:    controller.memory.High,
		AuditKeys:     auditKeys,
		DataLoss:      controller.dataLoss,
		Replica:       controller.replica,
		ReplicaPeers:  controller.peers,
		Cancellations: controller.cancellations,
		Log:           controller.log,
	})
	controller.broadcaster = &cancellation.Broadcaster{
		Controller: set.Name, Cancellations: controller.cancellations, Link: controller.peers,
		LocalLeader: controller.leader, CurrentLeader: controller.readLeader,
		InitialBackoff: set.HeartbeatInterval() / broadcastBackoffsPerHeartbeat,
	}
}

// connectUsers makes the job API.
func (controller *controller) connectUsers() {
	now := controller.network.WallClock
	if now == nil {
		now = time.Now
	}
	api := intake.New(
		controller.settings, controller.store, controller.types, controller.lookupTaskCounts,
		controller.shard.StoreRefuses, controller.memory.High, controller.authorizer, dataLossState{controller},
		controller.replica, controller.broadcaster, now, controller.log)
	mux := http.NewServeMux()
	api.Routes(mux)
	controller.users, controller.jobs = mux, api
}

// readLeader reads from the store who leads now. The error says that this controller and
// the store do not agree on that yet.
func (controller *controller) readLeader(ctx context.Context) (string, error) {
	stored, err := controller.elector.ReadShardMap(ctx)
	if known := controller.elector.ShardMap().Epoch; err == nil && stored.Epoch != known {
		// Another was elected since, or the store is behind what is known.
		err = fmt.Errorf("epoch %d is stored, %d is known", stored.Epoch, known)
	}
	return stored.Leader, err
}
