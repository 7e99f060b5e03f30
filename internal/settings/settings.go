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
	Node     string   `toml:"node_name" validate:"required"`
	Zone     string   `toml:"location"`
	Front    string   `toml:"front" validate:"required,hostname_port"`
	Back     string   `toml:"back" validate:"required,hostname_port"`
	Members  []Member `toml:"members" validate:"dive"`
	Services Services `toml:"services"`
	Facts    Facts    `toml:"facts"`
	Operator Operator `toml:"-" validate:"-"`
}

// Member is another controller.
type Member struct {
	Node     string `toml:"node_name" validate:"required"`
	Zone     string `toml:"location"`
	Endpoint string `toml:"endpoint" validate:"required,hostname_port"`
}

// Services are the addresses of the store and the cloud.
type Services struct {
	Cloud string `toml:"cloud" validate:"required,hostname_port"`
	State string `toml:"state" validate:"required,hostname_port"`
}

// Facts are what is known of the deployment.
type Facts struct {
	Size         int         `toml:"size" validate:"gte=0"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms" validate:"gte=0"`
	Teams        []Team      `toml:"teams" validate:"dive"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team is a team with its quota: what is guaranteed to it, and its limit.
type Team struct {
	Name    string  `toml:"name" validate:"required"`
	CPUs    float64 `toml:"cpus" validate:"gte=0"`
	CPUsMax float64 `toml:"cpus_max" validate:"gtefield=CPUs"`
	GPUs    float64 `toml:"gpus" validate:"gte=0"`
	GPUsMax float64 `toml:"gpus_max" validate:"gtefield=GPUs"`
}

// Workers are the times of the worker protocol, in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s" validate:"gt=0,lte=86400"` // up to a day; beyond, sums overflow
	LeaseS  float64 `toml:"lease_s" validate:"gtfield=ReportS,lte=86400"`
	CancelS float64 `toml:"cancel_s" validate:"gt=0,lte=86400"`
}

// Lease is how long a worker keeps its tasks without an answer to a heartbeat.
func (s *Settings) Lease() time.Duration { return Seconds(s.Facts.Workers.LeaseS) }

// Report is the interval of a worker's heartbeats.
func (s *Settings) Report() time.Duration { return Seconds(s.Facts.Workers.ReportS) }

// ClockError is how far the time of day may be off, either way.
func (s *Settings) ClockError() time.Duration { return Seconds(s.Facts.ClockErrorMS / 1000) }

// Team finds a team by name.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Facts.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Seconds converts an amount of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
