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
	"rillflow/internal/connlimit"
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

// Shares and intervals of a controller's components.
const (
	// usableShare is the share of a platform limit that one controller may use. It is high
	// because any controller may become the leader.
	usableShare = 0.8
	// requestShare is the share of the store's request rate that all controllers use together.
	requestShare = 0.9
	// leaderWeight is the leader's request rate as a multiple of a follower's.
	leaderWeight = 2
	// idleWorkerConnectionShare is the share of the sockets for idle connections to workers.
	// Most sockets are left to the front address.
	idleWorkerConnectionShare = 0.1
	// pingsPerHeartbeat is how often peers are pinged within a heartbeat interval.
	pingsPerHeartbeat = 6
	// memoryChecksPerHeartbeat is how often memory use is read within a heartbeat interval.
	memoryChecksPerHeartbeat = 16
	// broadcastBackoffsPerHeartbeat is the heartbeat interval as a multiple of the initial
	// backoff of cancellation broadcasts.
	broadcastBackoffsPerHeartbeat = 256

	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
)

// controller holds the components of a running controller. newController creates them, and
// they do not change afterwards. Each is safe for concurrent use.
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
	userHandler   http.Handler    // the job API
	jobAPI        *intake.API     // served by userHandler
	certs         *certs.Reloader // nil: no address has TLS
	keys          *keyring.Ring   // nil: neither identities nor the audit log are on
	authorizer    *access.Authorizer
	dataLoss      *dataloss.Detector
	replica       *replica.Replica
	cancellations *cancellation.Set
	broadcaster   *cancellation.Broadcaster
	front         *connlimit.Listener // set by listen
	unknownEpochs chan uint64         // epochs of workers above the highest one known here
	log           *slog.Logger
	startedAt     time.Time
}

// newController creates a controller's components and connects them, but starts none. Some
// components call others that are created after them, but only once all are running.
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

// connectPlatform creates the clients of the store and the cloud, the memory gauge, the catalogue
// of instance types and the replica.
func (controller *controller) connectPlatform() {
	config, limits := controller.settings, controller.settings.Facts
	followerRate, leaderRate := requestShares(limits.Store.RPS, len(config.Peers))
	controller.store = kvstore.New(kvstore.Options{
		Addr: config.Services.Store,
		// The rates of the leader and the followers add up to less than the store's limit.
		RequestsPerSecond: followerRate, LeaderRequestsPerSecond: leaderRate,
		HoldsLease: func() bool { return controller.elector.LeaseHeld() },
		Limits:     storeLimits(limits.Store), AnnouncedLimits: storeLimits(limits.Store.Lowest()),
		Timeout: config.HeartbeatInterval() / 2, Dial: controller.network.Dial, Log: controller.log,
	})
	cloudRate := limits.Cloud.RPS * usableShare
	controller.cloud = fleet.NewCloudClient(
		config.Services.Cloud, cloudRate, config.HeartbeatInterval(), controller.network.Dial)
	memory := limits.Resources.MemoryMB * bytesPerMB
	refuseAbove := uint64(config.Operator.Limits.RefuseAbove * memory)
	controller.memory = pressure.New(refuseAbove, config.HeartbeatInterval()/memoryChecksPerHeartbeat)
	controller.types = fleet.NewCatalogue(controller.cloud, 2*config.WorkerLease(), controller.log)
	controller.replica = replica.New(int(config.Operator.Recovery.FinishedJobsMemory * memory))
}

// requestShares returns the request rates of a follower and of the leader, in requests a second.
// allowed is the store's limit for a controller and its peers together.
func requestShares(allowed float64, peers int) (follower, leader float64) {
	follower = allowed * requestShare / float64(leaderWeight+peers)
	return follower, leaderWeight * follower
}

// storeLimits returns the part of the store's limits that one controller may use.
func storeLimits(limits settings.StoreLimits) kvstore.Limits {
	return kvstore.Limits{
		WritesPerSecond: limits.WriteRPS * usableShare, MaxValueBytes: int(limits.ValueKB * bytesPerKB),
	}
}

// connectElection creates the components for leader election, shard ownership, cancellations
// and the detection of data loss.
func (controller *controller) connectElection() {
	config := controller.settings
	controller.dataLoss = dataloss.NewDetector(controller.store, func(reason string) {
		controller.elector.EndTermForDataLoss(reason)
	}, controller.log)
	controller.elector = election.New(election.Options{
		Store: controller.store, Controller: config.Name,
		LeaseDuration:        time.Duration(config.Operator.Election.LeaseRatio * float64(config.WorkerLease())),
		ShardOwners:          func() []string { return controller.shard.EligibleOwners(nil) },
		Detector:             controller.dataLoss,
		RemembersIncarnation: func() bool { return !controller.replica.Empty() },
		Log:                  controller.log,
	})
	stopDeadline := settings.Seconds(config.Facts.Workers.CancelSeconds)
	controller.cancellations = cancellation.New(cancellation.Options{
		StopDeadline:     stopDeadline,
		Capacity:         cancellation.Capacity(config.Facts.Store.WriteRPS, stopDeadline),
		Peers:            config.PeerNames(),
		StoreUnavailable: func() bool { return controller.shard.StoreRefuses() },
		Now:              time.Now,
	})
	controller.shard = shard.New(
		config, controller.elector.ShardMap, controller.store.SinceLastAnswer, controller.cancellations, time.Now)
}

// loadCertificates reads the certificates if TLS is enabled for either address.
func (controller *controller) loadCertificates() error {
	tls := controller.settings.Operator.TLS
	if !tls.Enabled() {
		return nil
	}
	keeper, err := certs.Load(tls.Folder, controller.settings.Name, controller.log)
	controller.certs = keeper
	return err
}

// connectPeers creates the links to the other controllers.
func (controller *controller) connectPeers() {
	config := controller.settings
	controller.peers = peer.NewMesh(config.Peers, peerHandler{controller}, config.HeartbeatInterval()/pingsPerHeartbeat,
		controller.frontConnections()/2, controller.dialPeer(), controller.log)
	controller.shard.SetPeerLinks(controller.peers)
}

// dialPeer returns the dial function for peers. With TLS, a peer's certificate must carry its
// name.
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
				return controller.certs.ClientHandshake(ctx, conn, member.Name)
			}
		}
		conn.Close()
		return nil, fmt.Errorf("address %s belongs to no peer", addr)
	}
}

// loadKeys reads the operator's keys if identities or the audit log are enabled.
func (controller *controller) loadKeys() error {
	access := &controller.settings.Operator.Access
	if !access.IdentitiesEnabled() && !access.AuditEnabled() {
		return nil
	}
	keys, err := keyring.Load(access.Keys)
	controller.keys = keys
	return err
}

// connectLeader creates the leader's runtime, which is idle until this controller is elected.
func (controller *controller) connectLeader() {
	config := controller.settings
	auditKeys := controller.keys
	if !config.Operator.Access.AuditEnabled() {
		auditKeys = nil
	}
	maxIdleConnections := int(idleWorkerConnectionShare * float64(config.Facts.Resources.Sockets))
	controller.leader = leader.New(leader.Options{
		Settings:      config,
		Store:         controller.store,
		Cloud:         controller.cloud,
		WorkerClient:  agent.NewCommandClient(config.HeartbeatInterval(), maxIdleConnections, controller.network.Dial),
		Elector:       controller.elector,
		InstanceTypes: controller.types,
		Shards:        controller.shard,
		MemoryFull:    controller.memory.AboveLimit,
		AuditKeys:     auditKeys,
		DataLoss:      controller.dataLoss,
		Replica:       controller.replica,
		ReplicaPeers:  controller.peers,
		Cancellations: controller.cancellations,
		Log:           controller.log,
	})
	controller.broadcaster = &cancellation.Broadcaster{
		Controller: config.Name, Cancellations: controller.cancellations, Link: controller.peers,
		LocalLeader: controller.leader, CurrentLeader: controller.readLeader,
		InitialBackoff: config.HeartbeatInterval() / broadcastBackoffsPerHeartbeat,
	}
}

// connectUsers creates the job API.
func (controller *controller) connectUsers() {
	now := controller.network.WallClock
	if now == nil {
		now = time.Now
	}
	api := intake.New(
		controller.settings, controller.store, controller.types, controller.lookupTaskCounts,
		controller.shard.StoreRefuses, controller.memory.AboveLimit, controller.authorizer, dataLossState{controller},
		controller.replica, controller.broadcaster, now, controller.log)
	mux := http.NewServeMux()
	api.Routes(mux)
	controller.userHandler, controller.jobAPI = mux, api
}

// readLeader reads the current leader from the store. It fails if the stored shard map has
// another epoch than the one this controller knows.
func (controller *controller) readLeader(ctx context.Context) (string, error) {
	stored, err := controller.elector.ReadShardMap(ctx)
	if known := controller.elector.ShardMap().Epoch; err == nil && stored.Epoch != known {
		// A new leader has been elected, or the store is behind the known epoch.
		err = fmt.Errorf("store has epoch %d, this controller knows %d", stored.Epoch, known)
	}
	return stored.Leader, err
}
