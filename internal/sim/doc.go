// Package sim contains only tests. They run whole controllers against fakes of
// the state service, the cloud API, workers and users, over an in-memory network
// and a simulated clock, inject faults, and check the protocol's safety rules
// throughout each run.
package sim
