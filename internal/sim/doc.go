// Package sim holds no code for the daemon: its tests play days of whole
// controllers against stand-ins for the state service, the cloud, workers and
// users, on a network in memory and a clock of its own, and check the
// protocol's rules as they go.
package sim
