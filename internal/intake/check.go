// Package intake serves the users: it accepts jobs, tells their state and
// withdraws them, on every controller alike. The state service decides.
package intake

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strings"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

var refForm = regexp.MustCompile(`^req-[0-9]{1,40}$`)

// ValidRef tells whether a job id has the form users give it.
func ValidRef(ref string) bool { return refForm.MatchString(ref) }

const maxMembers = 100_000

// submission is a job as it arrives: pointers tell what is missing.
type submission struct {
	Ref       *string
	Class     *string
	Owner     *string
	Shape     *string
	Rank      *string
	Members   *int
	Cores     *float64
	Accel     *float64
	RAM       *float64
	Bundle    *string
	SizeGB    *float64
	Flavors   *[]string
	Locale    *string
	SamePlace *bool
	Scatter   *bool
	Loaners   *bool
	ExpectS   *float64
	SnapshotS *float64
	FlushS    *float64
	DueS      *float64
	Needs     []string
}

// members are where a submission's members go, by their exact names.
func (s *submission) members() map[string]any {
	return map[string]any{
		"ref": &s.Ref, "jobclass": &s.Class, "owner": &s.Owner, "shape": &s.Shape, "rank": &s.Rank, "members": &s.Members,
		"cores": &s.Cores, "accelerators": &s.Accel, "ram_gb": &s.RAM, "bundle": &s.Bundle, "size_gb": &s.SizeGB,
		"flavors": &s.Flavors, "locale": &s.Locale, "same_place": &s.SamePlace, "scatter": &s.Scatter, "loaners": &s.Loaners,
		"expect_s": &s.ExpectS, "snapshot_s": &s.SnapshotS, "flush_s": &s.FlushS, "due_s": &s.DueS, "waits_on": &s.Needs,
	}
}

// Parse reads a submission. The reference is returned also with an error when
// it could be read: a job that is known is answered whatever the body says.
func Parse(body []byte) (job wire.Job, ref string, err error) {
	var s submission
	err = s.read(body)
	if s.Ref != nil && ValidRef(*s.Ref) {
		ref = *s.Ref
	}
	if err != nil {
		return job, ref, fmt.Errorf("malformed: %w", err)
	}
	job, err = s.job()
	return job, ref, err
}

// read takes in a body, member by member: decoded into a struct, Cores would be taken for
// cores, and of two the last. With an error it holds what could be read.
func (s *submission) read(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil {
		return err
	} else if t != json.Delim('{') {
		return errors.New("not an object")
	}
	to, seen := s.members(), make(map[string]bool)
	var errs []error
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return errors.Join(append(errs, err)...)
		}
		var v json.RawMessage
		if err := d.Decode(&v); err != nil {
			return errors.Join(append(errs, err)...)
		}
		name, _ := t.(string) // a member's name is nothing else
		switch p := to[name]; {
		case p == nil: // not known, so ignored
		case seen[name]:
			errs = append(errs, fmt.Errorf("%s: twice", name))
		default:
			seen[name] = true
			if err := json.Unmarshal(v, p); err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", name, err))
			}
		}
	}
	if _, err := d.Token(); err != nil {
		errs = append(errs, err)
	} else if _, err := d.Token(); err != io.EOF {
		errs = append(errs, errors.New("more than an object"))
	}
	return errors.Join(errs...)
}

func (s *submission) job() (j wire.Job, err error) {
	var errs []error
	bad := func(field, what string) { errs = append(errs, fmt.Errorf("%s: %s", field, what)) }
	str := func(field string, p *string) string {
		if p == nil || *p == "" {
			bad(field, "missing")
			return ""
		}
		if len(*p) > 200 || strings.ContainsAny(*p, "\x00\n") {
			bad(field, "invalid")
		}
		return *p
	}
	num := func(field string, p *float64, positive bool) float64 {
		if p == nil {
			bad(field, "missing")
			return 0
		}
		if math.IsNaN(*p) || math.IsInf(*p, 0) || *p < 0 || positive && *p == 0 || *p > 1e9 {
			bad(field, "invalid")
		}
		return *p
	}
	flag := func(field string, p *bool) bool {
		if p == nil {
			bad(field, "missing")
			return false
		}
		return *p
	}
	j = wire.Job{
		ID: str("ref", s.Ref), Class: str("jobclass", s.Class), Team: str("owner", s.Owner),
		Kind: str("shape", s.Shape), Priority: str("rank", s.Rank), Image: str("bundle", s.Bundle),
		CPUs: num("cores", s.Cores, false), GPUs: num("accelerators", s.Accel, false),
		MemoryGB: num("ram_gb", s.RAM, false), ImageGB: num("size_gb", s.SizeGB, false),
		SingleZone: flag("same_place", s.SamePlace), SpreadZones: flag("scatter", s.Scatter), AllowSpot: flag("loaners", s.Loaners),
		ExpectedSeconds: num("expect_s", s.ExpectS, false), CheckpointIntervalSeconds: num("snapshot_s", s.SnapshotS, false), CheckpointSaveSeconds: num("flush_s", s.FlushS, false),
	}
	if !ValidRef(j.ID) {
		bad("ref", "wrong form")
	}
	if j.Kind != wire.KindArray && j.Kind != wire.KindService && j.Kind != wire.KindGang {
		bad("shape", "unknown")
	}
	if !slices.Contains(wire.Priorities(), j.Priority) {
		bad("rank", "unknown")
	}
	switch {
	case s.Members == nil:
		bad("members", "missing")
	case *s.Members < 1 || *s.Members > maxMembers:
		bad("members", "invalid")
	default:
		j.TaskCount = *s.Members
	}
	if s.Flavors != nil {
		j.InstanceTypes = *s.Flavors
		if len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, "") {
			bad("flavors", "invalid")
		}
	}
	if s.Locale != nil {
		j.Zone = str("locale", s.Locale)
	}
	if s.DueS != nil {
		j.DeadlineSeconds = num("due_s", s.DueS, false)
	}
	for _, n := range s.Needs {
		if !ValidRef(n) {
			bad("waits_on", "wrong form")
			break
		}
	}
	j.DependsOn = slices.Compact(slices.Sorted(slices.Values(s.Needs)))
	return j, errors.Join(errs...)
}

// ErrUndecided says that it cannot be told yet whether a job could run.
var ErrUndecided = errors.New("machine types are not known yet")

// Runnable tells why a job can never run, if so.
func Runnable(j *wire.Job, set *settings.Settings, types map[string]*wire.InstanceType) error {
	team, ok := set.Team(j.Team)
	if !ok {
		return fmt.Errorf("unknown team %q", j.Team)
	}
	n := 1.0
	if j.Kind != wire.KindArray {
		n = float64(j.TaskCount)
	}
	const slack = 1e-6
	if j.CPUs*n > team.CPUsMax+slack || j.GPUs*n > team.GPUsMax+slack {
		return fmt.Errorf("more than the limit of team %q", j.Team)
	}
	if types == nil {
		return ErrUndecided
	}
	zones := make(map[string]bool)
	for _, t := range types {
		if len(j.InstanceTypes) > 0 && !slices.Contains(j.InstanceTypes, t.Name) ||
			j.CPUs > t.CPUs+slack || j.GPUs > t.GPUs+slack || j.MemoryGB > t.MemoryGB+slack {
			continue
		}
		for _, z := range t.Zones {
			if j.Zone == "" || j.Zone == z {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return errors.New("a task fits no allowed machine type")
	}
	if j.Kind != wire.KindArray && j.TaskCount > 1 && j.SpreadZones && (j.SingleZone || len(zones) < 2) {
		return errors.New("the tasks cannot be spread as asked")
	}
	return nil
}
