// Package settings reads the platform's TOML and the operators' XML, and
// checks both before anything starts.
package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Settings is everything a controller is told at its start.
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

// Services are the addresses of what the platform runs.
type Services struct {
	Cloud string `toml:"cloud" validate:"required,hostname_port"`
	State string `toml:"state" validate:"required,hostname_port"`
}

// Facts are the figures of the deployment.
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

// Team is an owner of jobs with its guarantee and limit.
type Team struct {
	Name    string  `toml:"name" validate:"required"`
	CPUs    float64 `toml:"cpus" validate:"gte=0"`
	CPUsMax float64 `toml:"cpus_max" validate:"gtefield=CPUs"`
	GPUs    float64 `toml:"gpus" validate:"gte=0"`
	GPUsMax float64 `toml:"gpus_max" validate:"gtefield=GPUs"`
}

// Objective is one aim of the users.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // of a deadline
}

// Workers are the figures of the worker protocol.
type Workers struct {
	ReportS float64 `toml:"report_s" validate:"gt=0,lte=86400"` // up to a day; beyond, sums overflow
	LeaseS  float64 `toml:"lease_s" validate:"gtfield=ReportS,lte=86400"`
	CancelS float64 `toml:"cancel_s" validate:"gt=0,lte=86400"`
}

// State are the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps" validate:"gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"gte=1"`
	TxnOps   int     `toml:"txn_ops" validate:"gte=4"`
	// Next are limits that the service will have from some moment on, without
	// notice; nil if none are announced. A figure left out stays as it is.
	Next *NextState `toml:"next"`
}

// NextState are announced limits.
type NextState struct {
	RPS      float64 `toml:"rps" validate:"omitempty,gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"omitempty,gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"omitempty,gte=1"`
	TxnOps   int     `toml:"txn_ops" validate:"omitempty,gte=4"`
}

// Least are the limits that hold whether or not the announced ones are in
// force yet.
func (s State) Least() State {
	out := s
	out.Next = nil
	if n := s.Next; n != nil {
		lower(&out.RPS, n.RPS)
		lower(&out.WriteRPS, n.WriteRPS)
		lower(&out.ValueKB, n.ValueKB)
		lower(&out.TxnOps, n.TxnOps)
	}
	return out
}

// lower takes the smaller of two limits; 0 is none.
func lower[T int | float64](limit *T, to T) {
	if to > 0 {
		*limit = min(*limit, to)
	}
}

// Cloud are the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps" validate:"gt=0"`
	ListLagS float64 `toml:"list_lag_s" validate:"gte=0"`
}

// Resources are what this process may use.
type Resources struct {
	CPUShare float64 `toml:"cpu_share" validate:"gt=0,lte=1e6"`
	MemoryMB float64 `toml:"memory_mb" validate:"gt=0,lte=1e9"`
	Sockets  int     `toml:"sockets" validate:"gte=16"`
}

// OperatorFile is looked for beside the platform's settings file.
const OperatorFile = "rillflow.xml"

// ErrSettings says that the settings cannot be used. The rest of the error names the file
// and, where one is at fault, the field.
var ErrSettings = errors.New("settings")

// Load reads the settings at path and the operators' file beside it. An
// operator file named by xml must exist; the one beside path need not.
func Load(path, xml string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrSettings, path, err)
	}
	named := xml != ""
	if !named {
		xml = filepath.Join(filepath.Dir(path), OperatorFile)
	}
	own, err := os.ReadFile(xml)
	if err != nil && (named || !errors.Is(err, fs.ErrNotExist)) {
		return nil, fmt.Errorf("operator %w: %w", ErrSettings, err)
	}
	if s.Operator, err = ParseOperator(own); err != nil {
		return nil, fmt.Errorf("operator %w %s: %w", ErrSettings, xml, err)
	}
	for _, f := range []*string{&s.Operator.Access.Keys, &s.Operator.TLS.Folder, &s.Operator.Rebuild.Folder} {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(filepath.Dir(xml), *f)
		}
	}
	return s, nil
}

// Parse reads and checks the platform's settings. Unknown fields are ignored.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	if err := validator.New().Struct(&s); err != nil {
		return nil, firstError(err)
	}
	seen := map[string]bool{s.Node: true}
	for _, m := range s.Members {
		if seen[m.Node] {
			return nil, fmt.Errorf("node_name %q is used twice", m.Node)
		}
		seen[m.Node] = true
	}
	return &s, s.placed()
}

// placed tells of controllers that cannot be as the facts have them.
func (s *Settings) placed() error {
	if s.Facts.Size > 1 && len(s.Members) == 0 {
		return fmt.Errorf("members: none are named, facts.size is %d", s.Facts.Size)
	}
	if len(s.Facts.Zones) == 0 {
		return nil
	}
	for _, m := range append([]Member{{Node: s.Node, Zone: s.Zone}}, s.Members...) {
		if !slices.Contains(s.Facts.Zones, m.Zone) {
			return fmt.Errorf("location: %q of %s is not in facts.zones", m.Zone, m.Node)
		}
	}
	return nil
}

func firstError(err error) error {
	var ves validator.ValidationErrors
	if errors.As(err, &ves) && len(ves) > 0 {
		e := ves[0]
		return fmt.Errorf("%s: must satisfy %s %s, is %v", e.Namespace(), e.Tag(), e.Param(), e.Value())
	}
	return err
}

// Lease is how long a worker holds its tasks without an answer.
func (s *Settings) Lease() time.Duration { return Seconds(s.Facts.Workers.LeaseS) }

// Report is how often a worker reports.
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

// Others are the other controllers, by name.
func (s *Settings) Others() []string {
	var out []string
	for _, m := range s.Members {
		out = append(out, m.Node)
	}
	return out
}

// Near tells whether any other controller of those named is in a zone.
func (s *Settings) Near(zone string, nodes []string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Zone == zone && slices.Contains(nodes, m.Node) })
}

// Covered tells whether any controller is in a zone.
func (s *Settings) Covered(zone string) bool {
	return s.Zone == zone || slices.ContainsFunc(s.Members, func(m Member) bool { return m.Zone == zone })
}

// Ample tells whether to rent ahead of a class's work rather than for what is on
// hand: as the operator says, or else unless the users' aims price what is rented,
// or give the class deadlines, so that to be done sooner is worth nothing. A time
// since submission by which it is wanted finished as well is one more deadline.
// What has neither goes with the rest: it is rented for thriftily where all that
// has times has deadlines.
func (s *Settings) Ample(class string) bool {
	switch s.Operator.Fleet.Thrift {
	case "always":
		return false
	case "never":
		return true
	}
	var due, soon, anyDue, anySoon bool
	for _, o := range s.Facts.Objectives {
		switch o.Kind {
		case "price", "useful":
			return false
		case "deadline":
			anyDue, due = true, due || o.Class == class
		case "finished":
			soon = soon || o.Class == class
			anySoon = anySoon || !s.deadline(o.Class)
		}
	}
	switch {
	case due:
		return false
	case soon:
		return true
	}
	return !anyDue || anySoon
}

// deadline tells whether a class has an aim for its deadlines.
func (s *Settings) deadline(class string) bool {
	return slices.ContainsFunc(
		s.Facts.Objectives, func(o Objective) bool { return o.Kind == "deadline" && o.Class == class },
	)
}

// Deployment names the deployment by its controllers: what is kept of one is of no use
// to another.
func (s *Settings) Deployment() string {
	names := []string{s.Node}
	for _, m := range s.Members {
		names = append(names, m.Node)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// Frugal tells whether no class at all is rented ahead for.
func (s *Settings) Frugal() bool {
	return !s.Ample("") && !slices.ContainsFunc(
		s.Facts.Objectives, func(o Objective) bool { return o.Class != "" && s.Ample(o.Class) },
	)
}

// Seconds converts an amount of seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
