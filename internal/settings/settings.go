// Package settings loads a controller's configuration: the platform's TOML file and the
// operators' XML file. Both are validated before anything starts.
//
// Settings never change after they are loaded, so every package reads them without a lock.
// The struct tags hold the names used in the files. Decisions that depend on several
// settings, such as whether to scale ahead of demand, are made only here.
package settings

import (
	"math"
	"time"
)

// Settings are the complete configuration of a controller.
type Settings struct {
	Name         string   `toml:"node_name" validate:"required"`
	Zone         string   `toml:"location"`
	FrontAddress string   `toml:"front" validate:"required,hostname_port"`
	PeerAddress  string   `toml:"back" validate:"required,hostname_port"`
	Peers        []Peer   `toml:"members" validate:"dive"`
	Services     Services `toml:"services"`
	Facts        Facts    `toml:"facts"`
	Operator     Operator `toml:"-" validate:"-"`
}

// Peer is another controller.
type Peer struct {
	Name     string `toml:"node_name" validate:"required"`
	Zone     string `toml:"location"`
	Endpoint string `toml:"endpoint" validate:"required,hostname_port"`
}

// Services are the addresses of the store and the cloud.
type Services struct {
	Cloud string `toml:"cloud" validate:"required,hostname_port"`
	Store string `toml:"state" validate:"required,hostname_port"`
}

// Facts are the platform's description of the deployment.
type Facts struct {
	Size             int           `toml:"size" validate:"gte=0"`
	Zones            []string      `toml:"zones"`
	ClockErrorMillis float64       `toml:"clock_error_ms" validate:"gte=0"`
	Teams            []Team        `toml:"teams" validate:"dive"`
	Objectives       []Objective   `toml:"objectives"`
	Workers          WorkerTimings `toml:"workers"`
	Store            StoreLimits   `toml:"state"`
	Cloud            CloudLimits   `toml:"cloud"`
	Resources        ProcessLimits `toml:"resources"`
}

// Team is a team with its quota: guaranteed CPUs and GPUs, and the maximum of each.
type Team struct {
	Name    string  `toml:"name" validate:"required"`
	CPUs    float64 `toml:"cpus" validate:"gte=0"`
	CPUsMax float64 `toml:"cpus_max" validate:"gtefield=CPUs"` // +Inf: no limit, 0 in the platform's file
	GPUs    float64 `toml:"gpus" validate:"gte=0"`
	GPUsMax float64 `toml:"gpus_max" validate:"gtefield=GPUs"`
}

// HasLimit reports whether the team's tasks may use only a limited amount of CPUs at a time.
func (team *Team) HasLimit() bool { return !math.IsInf(team.CPUsMax, 1) }

// liftMissingLimits sets the limits of a team for which the platform gives none: a limit of 0 CPUs means that
// there is no limit, and none on GPUs either unless one is given.
func (team *Team) liftMissingLimits() {
	if team.CPUsMax != 0 {
		return
	}
	team.CPUsMax = math.Inf(1)
	if team.GPUsMax == 0 {
		team.GPUsMax = math.Inf(1)
	}
}

// WorkerTimings are the intervals of the worker protocol. Each is limited to a day, so that sums
// of them cannot overflow a duration.
type WorkerTimings struct {
	HeartbeatSeconds float64 `toml:"report_s" validate:"gt=0,lte=86400"`
	LeaseSeconds     float64 `toml:"lease_s" validate:"gtfield=HeartbeatSeconds,lte=86400"`
	CancelSeconds    float64 `toml:"cancel_s" validate:"gt=0,lte=86400"`
}

// WorkerLease returns how long a worker keeps running its tasks without an answer to a
// heartbeat.
func (settings *Settings) WorkerLease() time.Duration {
	return Seconds(settings.Facts.Workers.LeaseSeconds)
}

// HeartbeatInterval returns the interval between a worker's heartbeats.
func (settings *Settings) HeartbeatInterval() time.Duration {
	return Seconds(settings.Facts.Workers.HeartbeatSeconds)
}

// ClockError returns the maximum error of the wall clock, in either direction.
func (settings *Settings) ClockError() time.Duration {
	return Seconds(settings.Facts.ClockErrorMillis / 1000)
}

// Team returns the team of that name, and whether there is one.
func (settings *Settings) Team(name string) (Team, bool) {
	for _, team := range settings.Facts.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Seconds converts seconds to a duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
