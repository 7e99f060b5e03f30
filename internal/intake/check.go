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

var jobIDPattern = regexp.MustCompile(`^req-[0-9]{1,40}$`)

// ValidJobID tells whether a job id has the form users give it.
func ValidJobID(ref string) bool { return jobIDPattern.MatchString(ref) }

const maxTasks = 100_000

// submission is a job as it arrives: pointers tell what is missing.
type submission struct {
	ID                        *string
	Class                     *string
	Team                      *string
	Kind                      *string
	Priority                  *string
	TaskCount                 *int
	CPUs                      *float64
	GPUs                      *float64
	MemoryGB                  *float64
	Image                     *string
	ImageGB                   *float64
	InstanceTypes             *[]string
	Zone                      *string
	SingleZone                *bool
	SpreadZones               *bool
	AllowSpot                 *bool
	ExpectedSeconds           *float64
	CheckpointIntervalSeconds *float64
	CheckpointSaveSeconds     *float64
	DeadlineSeconds           *float64
	DependsOn                 []string
}

// fields are where a submission's members go, by their exact names.
func (submission *submission) fields() map[string]any {
	return map[string]any{
		"ref": &submission.ID, "jobclass": &submission.Class, "owner": &submission.Team, "shape": &submission.Kind, "rank": &submission.Priority, "members": &submission.TaskCount,
		"cores": &submission.CPUs, "accelerators": &submission.GPUs, "ram_gb": &submission.MemoryGB, "bundle": &submission.Image, "size_gb": &submission.ImageGB,
		"flavors": &submission.InstanceTypes, "locale": &submission.Zone, "same_place": &submission.SingleZone, "scatter": &submission.SpreadZones, "loaners": &submission.AllowSpot,
		"expect_s": &submission.ExpectedSeconds, "snapshot_s": &submission.CheckpointIntervalSeconds, "flush_s": &submission.CheckpointSaveSeconds, "due_s": &submission.DeadlineSeconds, "waits_on": &submission.DependsOn,
	}
}

// Parse reads a submission. The reference is returned also with an error when
// it could be read: a job that is known is answered whatever the body says.
func Parse(body []byte) (job wire.Job, ref string, err error) {
	var s submission
	err = s.read(body)
	if s.ID != nil && ValidJobID(*s.ID) {
		ref = *s.ID
	}
	if err != nil {
		return job, ref, fmt.Errorf("malformed: %w", err)
	}
	job, err = s.job()
	return job, ref, err
}

// read takes in a body, member by member: decoded into a struct, Cores would be taken for
// cores, and of two the last. With an error it holds what could be read.
func (submission *submission) read(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil {
		return err
	} else if t != json.Delim('{') {
		return errors.New("not an object")
	}
	to, seen := submission.fields(), make(map[string]bool)
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

func (submission *submission) job() (j wire.Job, err error) {
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
		ID: str("ref", submission.ID), Class: str("jobclass", submission.Class), Team: str("owner", submission.Team),
		Kind: str("shape", submission.Kind), Priority: str("rank", submission.Priority), Image: str("bundle", submission.Image),
		CPUs: num("cores", submission.CPUs, false), GPUs: num("accelerators", submission.GPUs, false),
		MemoryGB: num("ram_gb", submission.MemoryGB, false), ImageGB: num("size_gb", submission.ImageGB, false),
		SingleZone: flag("same_place", submission.SingleZone), SpreadZones: flag("scatter", submission.SpreadZones), AllowSpot: flag("loaners", submission.AllowSpot),
		ExpectedSeconds: num("expect_s", submission.ExpectedSeconds, false), CheckpointIntervalSeconds: num("snapshot_s", submission.CheckpointIntervalSeconds, false), CheckpointSaveSeconds: num("flush_s", submission.CheckpointSaveSeconds, false),
	}
	if !ValidJobID(j.ID) {
		bad("ref", "wrong form")
	}
	if j.Kind != wire.KindArray && j.Kind != wire.KindService && j.Kind != wire.KindGang {
		bad("shape", "unknown")
	}
	if !slices.Contains(wire.Priorities(), j.Priority) {
		bad("rank", "unknown")
	}
	switch {
	case submission.TaskCount == nil:
		bad("members", "missing")
	case *submission.TaskCount < 1 || *submission.TaskCount > maxTasks:
		bad("members", "invalid")
	default:
		j.TaskCount = *submission.TaskCount
	}
	if submission.InstanceTypes != nil {
		j.InstanceTypes = *submission.InstanceTypes
		if len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, "") {
			bad("flavors", "invalid")
		}
	}
	if submission.Zone != nil {
		j.Zone = str("locale", submission.Zone)
	}
	if submission.DeadlineSeconds != nil {
		j.DeadlineSeconds = num("due_s", submission.DeadlineSeconds, false)
	}
	for _, n := range submission.DependsOn {
		if !ValidJobID(n) {
			bad("waits_on", "wrong form")
			break
		}
	}
	j.DependsOn = slices.Compact(slices.Sorted(slices.Values(submission.DependsOn)))
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
