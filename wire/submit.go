package wire

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100_000

var jobIDPattern = regexp.MustCompile(`^req-[0-9]{1,18}$`)

// ValidJobID reports whether id has the form of a job ID.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// TaskID returns the ID of task n of a job.
func TaskID(job string, n int) string { return job + "/" + strconv.Itoa(n) }

// SplitTaskID splits a task ID into the job ID and the number of the task.
func SplitTaskID(id string) (job string, n int, ok bool) {
	job, number, found := strings.Cut(id, "/")
	if !found {
		return "", 0, false
	}
	n, err := strconv.Atoi(number)
	return job, n, err == nil && n >= 0
}

// submission is the encoded form of a Job. Its pointers distinguish a missing field from a zero one.
type submission struct {
	ID          *string  `cbor:"uid"`
	Class       *string  `cbor:"lane"`
	Team        *string  `cbor:"crew"`
	Kind        *string  `cbor:"shape"`
	Priority    *string  `cbor:"urgency"`
	Tasks       *int64   `cbor:"pieces"`
	CPUs        *float64 `cbor:"cores"`
	GPUs        *float64 `cbor:"gpus"`
	MemoryGB    *float64 `cbor:"ram_gb"`
	Image       *string  `cbor:"bundle"`
	ImageGB     *float64 `cbor:"size_gb"`
	Types       []string `cbor:"builds"`
	Zone        *string  `cbor:"yard"`
	OneZone     *bool    `cbor:"one_zone"`
	Spread      *bool    `cbor:"scatter"`
	Spot        *bool    `cbor:"lendable"`
	EstimateS   *float64 `cbor:"reckon_s"`
	CheckpointS *float64 `cbor:"mark_s"`
	SaveS       *float64 `cbor:"stash_s"`
	DeadlineS   *float64 `cbor:"due_s"`
	Needs       []string `cbor:"waits_on"`
}

// ParseJob decodes and validates a submission. If it fails, it still returns the job ID
// if that could be read: a repeated submission of a known job is answered with the job's
// state even if it is invalid. If the body can't be decoded, the error is that of Unmarshal;
// otherwise it joins at least one *FieldError for each missing or invalid field. A field that
// fails several checks has one for each.
func ParseJob(body []byte) (job Job, id string, err error) {
	var s submission
	if err := Unmarshal(body, &s); err != nil {
		var idOnly struct {
			ID string `cbor:"uid"`
		}
		if Unmarshal(body, &idOnly) == nil && ValidJobID(idOnly.ID) {
			id = idOnly.ID
		}
		return Job{}, id, err
	}
	if s.ID != nil && ValidJobID(*s.ID) {
		id = *s.ID
	}
	p := parser{}
	job = Job{
		ID: p.text("uid", s.ID), Class: p.text("lane", s.Class), Team: p.text("crew", s.Team),
		Kind: p.text("shape", s.Kind), Priority: p.text("urgency", s.Priority),
		CPUs: p.nonNegative("cores", s.CPUs), GPUs: p.nonNegative("gpus", s.GPUs), MemoryGB: p.nonNegative("ram_gb", s.MemoryGB),
		Image: p.text("bundle", s.Image), ImageGB: p.nonNegative("size_gb", s.ImageGB),
		Types: s.Types, OneZone: p.flag("one_zone", s.OneZone), Spread: p.flag("scatter", s.Spread),
		Spot: p.flag("lendable", s.Spot), EstimateS: p.nonNegative("reckon_s", s.EstimateS),
		CheckpointS: p.nonNegative("mark_s", s.CheckpointS), SaveS: p.nonNegative("stash_s", s.SaveS), DeadlineS: s.DeadlineS,
	}
	if s.Zone != nil {
		job.Zone = *s.Zone
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		p.fail("pieces")
	} else {
		job.Tasks = int(*s.Tasks)
	}
	p.require("uid", ValidJobID(job.ID))
	p.require("shape", job.Kind == KindArray || job.Kind == KindGang || job.Kind == KindService)
	p.require("urgency", slices.Contains(Priorities, job.Priority))
	// A task must use at least one resource; the error names the cores.
	p.require("cores", job.CPUs > 0 || job.GPUs > 0 || job.MemoryGB > 0)
	if s.DeadlineS != nil {
		p.nonNegative("due_s", s.DeadlineS)
	}
	for _, needed := range s.Needs {
		p.require("waits_on", ValidJobID(needed))
		if !slices.Contains(job.Needs, needed) { // duplicates are dropped
			job.Needs = append(job.Needs, needed)
		}
	}
	return job, id, p.err
}

// ErrInvalidField is wrapped by every *FieldError.
var ErrInvalidField = errors.New("missing or invalid")

// FieldError reports a missing or invalid field of a submission or of another message. It wraps
// ErrInvalidField.
type FieldError struct {
	Field string // name of the field in the protocol, such as "pieces" or "waits_on"
}

// Error returns the message for users, such as "field pieces is missing or invalid".
func (e *FieldError) Error() string { return fmt.Sprintf("field %s is %v", e.Field, ErrInvalidField) }

// Unwrap returns ErrInvalidField.
func (e *FieldError) Unwrap() error { return ErrInvalidField }

// parser returns the values of a submission's fields and joins a *FieldError for each failed check.
type parser struct{ err error }

// fail records an error for the field.
func (p *parser) fail(field string) {
	p.err = errors.Join(p.err, &FieldError{Field: field})
}

// require records an error for the field unless ok.
func (p *parser) require(field string, ok bool) {
	if !ok {
		p.fail(field)
	}
}

// text returns the value of a required string, which must not be empty.
func (p *parser) text(field string, v *string) string {
	if v == nil || *v == "" {
		p.fail(field)
		return ""
	}
	return *v
}

// nonNegative returns the value of a required amount.
func (p *parser) nonNegative(field string, v *float64) float64 {
	if v == nil || !validAmount(*v) {
		p.fail(field)
		return 0
	}
	return *v
}

// flag returns the value of a required boolean.
func (p *parser) flag(field string, v *bool) bool {
	if v == nil {
		p.fail(field)
		return false
	}
	return *v
}
