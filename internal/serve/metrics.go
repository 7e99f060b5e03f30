package serve

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rillflow/internal/kvstore"
)

// metricsNamespace is the first part of each metric's name.
const metricsNamespace = "rillflow"

// metricName joins the parts of a metric's name.
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

	leaderMetric = prometheus.NewDesc(metricName("", "leader"),
		"Whether this controller holds the leader's lease.", nil, nil)
	leaderTermsMetric = prometheus.NewDesc(metricName("", "leader_terms_total"),
		"Terms that this controller has begun to lead.", nil, nil)
	epochMetric = prometheus.NewDesc(metricName("", "epoch"),
		"The highest epoch that this controller knows of.", nil, nil)
	pendingCancellationMetric = prometheus.NewDesc(metricName("", "oldest_pending_cancellation_seconds"),
		"Age of the oldest cancellation that has not reached all dependents; 0 where none is pending or another leads.",
		nil, nil)
)

// metricsCollector reads a controller's metrics when they are asked for.
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
	gauge := func(metric *prometheus.Desc, value float64) {
		metrics <- prometheus.MustNewConstMetric(metric, prometheus.GaugeValue, value)
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
	gauge(pendingCancellationMetric, c.leader.OldestPendingCancellation().Seconds())
}

// metrics answers an operator who may see the status with the metrics in the Prometheus text format.
func (controller *controller) metrics() http.HandlerFunc {
	registry := prometheus.NewRegistry()
	registry.MustRegister(metricsCollector{controller})
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return func(w http.ResponseWriter, r *http.Request) {
		if controller.authorizeOperator(w, r) {
			handler.ServeHTTP(w, r)
		}
	}
}
