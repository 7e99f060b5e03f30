package intake

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"

	"rillflow/internal/wire"
)

var jobIDPattern = regexp.MustCompile(`^req-[0-9]{1,40}$`)

// ValidJobID reports whether a job ID has the form that the protocol prescribes.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// maxTasks is the protocol's limit on the tasks of a job.
const maxTasks = 100_000

// submission is a job as submitted. A nil pointer stands for a missing field.
type submission struct {
	ID                        *string
	Class                     *string
	Team                      *string
	Kind                      *string
	Priority                  *string
	TaskCount                 *taskCount
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

// fields returns the decoding targets of a submission's fields, by the protocol's names.
func (submission *submission) fields() map[string]any {
	return map[string]any{
		"ref":          &submission.ID,
		"jobclass":     &submission.Class,
		"owner":        &submission.Team,
		"shape":        &submission.Kind,
		"rank":         &submission.Priority,
		"members":      &submission.TaskCount,
		"cores":        &submission.CPUs,
		"accelerators": &submission.GPUs,
		"ram_gb":       &submission.MemoryGB,
		"bundle":       &submission.Image,
		"size_gb":      &submission.ImageGB,
		"flavors":      &submission.InstanceTypes,
		"locale":       &submission.Zone,
		"same_place":   &submission.SingleZone,
		"scatter":      &submission.SpreadZones,
		"loaners":      &submission.AllowSpot,
		"expect_s":     &submission.ExpectedSeconds,
		"snapshot_s":   &submission.CheckpointIntervalSeconds,
		"flush_s":      &submission.CheckpointSaveSeconds,
		"due_s":        &submission.DeadlineSeconds,
		"waits_on":     &submission.DependsOn,
	}
}

// Parse decodes and checks a submission. The ID is also returned with an error if it could be
// decoded, because the submission of an existing job is answered whatever its faults.
func Parse(body []byte) (job wire.Job, id string, err error) {
	var submission submission
	err = submission.decode(body)
	if submission.ID != nil && ValidJobID(*submission.ID) {
		id = *submission.ID
	}
	if err != nil {
		return job, id, fmt.Errorf("malformed: %w", err)
	}
	job, err = submission.job()
	return job, id, err
}

// decode decodes a body field by field. Decoding into a struct with encoding/json would accept
// Cores as cores, and the last of two fields with one name. After an error the submission holds
// the fields that could be decoded.
func (submission *submission) decode(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil {
		return err
	} else if token != json.Delim('{') {
		return errors.New("not an object")
	}
	targets, seen := submission.fields(), make(map[string]bool)
	var errs []error
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return errors.Join(append(errs, err)...)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return errors.Join(append(errs, err)...)
		}
		name, _ := token.(string) // a field name is always a string
		switch target := targets[name]; {
		case target == nil: // unknown fields are ignored
		case seen[name]:
			errs = append(errs, fmt.Errorf("%s: twice", name))
		default:
			seen[name] = true
			if err := json.Unmarshal(value, target); err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", name, err))
			}
		}
	}
	if _, err := decoder.Token(); err != nil {
		errs = append(errs, err)
	} else if _, err := decoder.Token(); err != io.EOF {
		errs = append(errs, errors.New("more than an object"))
	}
	return errors.Join(errs...)
}

// job checks a submission and returns the job that it describes. The error joins all faults, in
// the order of the checks.
func (submission *submission) job() (job wire.Job, err error) {
	var check fieldChecker
	job = wire.Job{
		ID: check.text("ref", submission.ID), Class: check.text("jobclass", submission.Class),
		Team: check.text("owner", submission.Team), Kind: check.text("shape", submission.Kind),
		Priority: check.text("rank", submission.Priority), Image: check.text("bundle", submission.Image),
		CPUs: check.amount("cores", submission.CPUs), GPUs: check.amount("accelerators", submission.GPUs),
		MemoryGB: check.amount("ram_gb", submission.MemoryGB), ImageGB: check.amount("size_gb", submission.ImageGB),
		SingleZone:  check.flag("same_place", submission.SingleZone),
		SpreadZones: check.flag("scatter", submission.SpreadZones),
		AllowSpot:   check.flag("loaners", submission.AllowSpot),

		ExpectedSeconds:           check.amount("expect_s", submission.ExpectedSeconds),
		CheckpointIntervalSeconds: check.amount("snapshot_s", submission.CheckpointIntervalSeconds),
		CheckpointSaveSeconds:     check.amount("flush_s", submission.CheckpointSaveSeconds),
	}
	check.idAndEnums(&job)
	job.TaskCount = check.taskCount(submission.TaskCount)
	if submission.InstanceTypes != nil {
		job.InstanceTypes = *submission.InstanceTypes
		if len(job.InstanceTypes) == 0 || slices.Contains(job.InstanceTypes, "") {
			check.fault("flavors", invalid)
		}
	}
	if submission.Zone != nil {
		job.Zone = check.text("locale", submission.Zone)
	}
	if submission.DeadlineSeconds != nil {
		job.DeadlineSeconds = check.amount("due_s", submission.DeadlineSeconds)
	}
	if slices.ContainsFunc(submission.DependsOn, func(id string) bool { return !ValidJobID(id) }) {
		check.fault("waits_on", wrongForm)
	}
	job.DependsOn = slices.Compact(slices.Sorted(slices.Values(submission.DependsOn)))
	return job, errors.Join(check.faults...)
}
