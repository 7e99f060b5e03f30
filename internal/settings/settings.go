// Package settings reads what a controller is told at its start: the platform's TOML and
// the operators' XML. Both are checked before anything starts.
//
// Settings never change after they are read, so every package reads them without a lock.
// The names of the files stand in the struct tags. What follows from several of them, such
// as whether to scale ahead of demand, is decided here and nowhere else.
package settings

import "time"

// Settings are everything a controller is told at its start.
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

// Facts are what is known of the deployment.
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

// Team is a team with its quota: what is guaranteed to it, and its limit.
type Team struct {
	Name    string  `toml:"name" validate:"required"`
	CPUs    float64 `toml:"cpus" validate:"gte=0"`
	CPUsMax float64 `toml:"cpus_max" validate:"gtefield=CPUs"`
	GPUs    float64 `toml:"gpus" validate:"gte=0"`
	GPUsMax float64 `toml:"gpus_max" validate:"gtefield=GPUs"`
}

// WorkerTimings are the times of the worker protocol, in seconds.
type WorkerTimings struct {
	HeartbeatSeconds float64 `toml:"report_s" validate:"gt=0,lte=86400"` // up to a day; beyond, sums overflow
	LeaseSeconds     float64 `toml:"lease_s" validate:"gtfield=HeartbeatSeconds,lte=86400"`
	CancelSeconds    float64 `toml:"cancel_s" validate:"gt=0,lte=86400"`
}

// WorkerLease is how long a worker keeps its tasks without an answer to a heartbeat.
func (settings *Settings) WorkerLease() time.Duration {
	return Seconds(settings.Facts.Workers.LeaseSeconds)
}

// HeartbeatInterval is the interval of a worker's heartbeats.
func (settings *Settings) HeartbeatInterval() time.Duration {
	return Seconds(settings.Facts.Workers.HeartbeatSeconds)
}

// ClockError is how far the time of day may be off, either way.
func (settings *Settings) ClockError() time.Duration {
	return Seconds(settings.Facts.ClockErrorMillis / 1000)
}

// Team finds a team by name.
func (settings *Settings) Team(name string) (Team, bool) {
	for _, team := range settings.Facts.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Seconds converts an amount of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
