package serve

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rillflow/internal/kvstore"
)

// metricsNamespace is the prefix of each metric's name.
const metricsNamespace = "rillflow"

// metricName returns the full name of a metric; subsystem may be empty.
func metricName(subsystem, name string) string {
	return prometheus.BuildFQName(metricsNamespace, subsystem, name)
}

var (
	priorityLabel = []string{"priority"}

	storeRequestsMetric = prometheus.NewDesc(metricName("store", "requests_total"),
		"Requests to the key-value store that the request budget allowed.", priorityLabel, nil)
	storeWaitMetric = prometheus.NewDesc(metricName("store", "request_wait_seconds_total"),
		"Time that requests to the key-value store waited for the request budget.", priorityLabel, nil)
	storeShedMetric = prometheus.NewDesc(metricName("store", "requests_shed_total"),
		"Requests to the key-value store that the request budget did not allow in time.", priorityLabel, nil)
	storeRejectedMetric = prometheus.NewDesc(metricName("store", "requests_rejected_total"),
		"Requests that the key-value store answered with 429 or 503.", priorityLabel, nil)
	storeSilenceMetric = prometheus.NewDesc(metricName("store", "silence_seconds"),
		"Time since the key-value store last answered this controller.", nil, nil)

	openConnectionsMetric = prometheus.NewDesc(metricName("front", "open_connections"),
		"Connections that users, workers and the load balancer have open.", nil, nil)
	closedConnectionsMetric = prometheus.NewDesc(metricName("front", "connections_closed_total"),
		"Connections closed while their request was awaited, by why.", []string{"reason"}, nil)

	storeOperationsMetric = prometheus.NewDesc(metricName("store", "operations_total"),
		"Puts and deletes in transactions, by the first part of the key and by what became of the transaction.",
		[]string{"prefix", "change", "outcome"}, nil)
	pollsMetric = prometheus.NewDesc(metricName("", "polls_total"),
		"Status requests of users, by what they were answered.", []string{"outcome"}, nil)
	readRoundsMetric = prometheus.NewDesc(metricName("status_read", "rounds_total"),
		"Rounds that confirmed what status requests are answered from memory.", nil, nil)
	failedRoundsMetric = prometheus.NewDesc(metricName("status_read", "failed_rounds_total"),
		"Rounds that failed.", nil, nil)
	memoryReadsMetric = prometheus.NewDesc(metricName("status_read", "memory_reads_total"),
		"Status requests answered from memory behind a round.", nil, nil)
	liveJobsMetric = prometheus.NewDesc(metricName("status_read", "live_jobs"),
		"Live jobs in memory; 0 where status requests are answered from the store.", nil, nil)
	refusalsMetric = prometheus.NewDesc(metricName("", "submissions_refused_total"),
		"Submissions answered 503 before they were accepted, by what there was no room for.", []string{"reason"}, nil)
	writeQueueMetric = prometheus.NewDesc(metricName("", "write_queue_chunks"),
		"Chunks of jobs that wait to be written, by what of them; 0 where another controller leads.",
		[]string{"change"}, nil)
	oldestEndMetric = prometheus.NewDesc(metricName("", "oldest_unstored_end_seconds"),
		"Age of the oldest end of a job that is not stored; 0 where none waits or another controller leads.", nil, nil)

	leaderMetric = prometheus.NewDesc(metricName("", "leader"),
		"Whether this controller holds the leader's lease.", nil, nil)
	leaderTermsMetric = prometheus.NewDesc(metricName("", "leader_terms_total"),
		"Terms that this controller has begun to lead.", nil, nil)
	epochMetric = prometheus.NewDesc(metricName("", "epoch"),
		"The highest epoch that this controller knows of.", nil, nil)
	epochRaisesMetric = prometheus.NewDesc(metricName("", "epoch_raises_total"),
		"Raises of the epoch by this controller, by the reason for which one was requested.", []string{"reason"}, nil)
	heldExitsMetric = prometheus.NewDesc(metricName("", "held_exits"),
		"Exited attempts that workers must not forget, as a copy of a start command could start them again.", nil, nil)
	oldestHeldExitMetric = prometheus.NewDesc(metricName("", "oldest_held_exit_seconds"),
		"Age of the oldest exited attempt that its worker must not forget; 0 where there is none or another leads.",
		nil, nil)
	pendingCancellationMetric = prometheus.NewDesc(metricName("", "oldest_pending_cancellation_seconds"),
		"Age of the oldest cancellation that has not reached all dependents; 0 where none is pending or another leads.",
		nil, nil)
)

// metricsCollector reads a controller's metrics on each scrape.
type metricsCollector struct{ *controller }

// Describe implements prometheus.Collector.
func (c metricsCollector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descriptions)
}

// Collect implements prometheus.Collector.
func (c metricsCollector) Collect(metrics chan<- prometheus.Metric) {
	counter := func(metric *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(metric, prometheus.CounterValue, value, labels...)
	}
	gauge := func(metric *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(metric, prometheus.GaugeValue, value, labels...)
	}
	for _, priority := range kvstore.Priorities() {
		usage := c.store.Usage(priority)
		counter(storeRequestsMetric, float64(usage.Sent), priority.String())
		counter(storeWaitMetric, usage.Waited.Seconds(), priority.String())
		counter(storeShedMetric, float64(usage.Shed), priority.String())
		counter(storeRejectedMetric, float64(usage.Rejected), priority.String())
	}
	gauge(storeSilenceMetric, c.store.SinceLastAnswer().Seconds())
	leading := 0.0
	if c.elector.LeaseHeld() {
		leading = 1
	}
	gauge(leaderMetric, leading)
	counter(leaderTermsMetric, float64(c.elector.TermsBegun()))
	gauge(epochMetric, float64(c.elector.ShardMap().Epoch))
	for reason, count := range c.leader.EpochRaises() {
		counter(epochRaisesMetric, float64(count), reason)
	}
	held := c.leader.HeldExits()
	gauge(heldExitsMetric, float64(held.Count))
	gauge(oldestHeldExitMetric, held.OldestAge.Seconds())
	gauge(pendingCancellationMetric, c.leader.OldestPendingCancellation().Seconds())
	for _, operations := range c.store.OperationCounts() {
		change := "put"
		if operations.IsDelete {
			change = "delete"
		}
		counter(storeOperationsMetric, float64(operations.Count), operations.Prefix, change, operations.Outcome)
	}
	c.collectConnections(counter, gauge)
	polls := c.jobAPI.PollStats()
	counter(pollsMetric, float64(polls.Answered), "answered")
	counter(pollsMetric, float64(polls.Unknown), "unknown_job")
	counter(pollsMetric, float64(polls.Shed), "shed")
	counter(pollsMetric, float64(polls.Refused), "refused")
	reads := c.jobAPI.LiveJobStats()
	counter(readRoundsMetric, float64(reads.Rounds))
	counter(failedRoundsMetric, float64(reads.FailedRounds))
	counter(memoryReadsMetric, float64(reads.Reads))
	gauge(liveJobsMetric, float64(reads.Keys))
	refusals := c.jobAPI.SubmissionRefusals()
	counter(refusalsMetric, float64(refusals.Memory), "memory")
	counter(refusalsMetric, float64(refusals.WriteBacklog), "write_backlog")
	backlog := c.leader.WriteBacklog()
	gauge(writeQueueMetric, float64(backlog.Claims), "claim")
	gauge(writeQueueMetric, float64(backlog.Ends), "end")
	gauge(writeQueueMetric, float64(backlog.Finishes), "finish")
	gauge(writeQueueMetric, float64(backlog.Cleanup), "cleanup")
	gauge(oldestEndMetric, backlog.OldestEndAge.Seconds())
}

// metricsHandler returns the handler that serves the metrics in the Prometheus text format to
// operators who may read the status.
func (controller *controller) metricsHandler() http.HandlerFunc {
	registry := prometheus.NewRegistry()
	registry.MustRegister(metricsCollector{controller})
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return func(w http.ResponseWriter, r *http.Request) {
		if controller.authorizeOperator(w, r) {
			handler.ServeHTTP(w, r)
		}
	}
}

// collectConnections collects the metrics of the front address, once it is open.
func (c metricsCollector) collectConnections(counter, gauge func(*prometheus.Desc, float64, ...string)) {
	if c.front == nil {
		return
	}
	gauge(openConnectionsMetric, float64(c.front.Open()))
	closed := c.front.Stats()
	counter(closedConnectionsMetric, float64(closed.TimedOut), "timed_out")
	counter(closedConnectionsMetric, float64(closed.Displaced), "displaced")
}
