package sim

import (
	"fmt"
	"net/http"
	"slices"

	"pumicefront/controller"
	"pumicefront/wire"
)

// encodeWithoutRequiredField encodes a submission without one of its required fields, chosen at random. Every field that
// is neither null nor an empty string counts as required, so the caller must leave the optional fields empty.
func (w *World) encodeWithoutRequiredField(s wire.Job) []byte {
	var fields map[string]any
	if err := wire.Unmarshal(encodeJob(s), &fields); err != nil {
		panic(err)
	}
	var required []string
	for name, v := range fields {
		if v != nil && v != "" {
			required = append(required, name)
		}
	}
	slices.Sort(required)
	delete(fields, required[w.rng.IntN(len(required))])
	return wire.Marshal(fields)
}

// edgeCaseRequests picks a job. If it has been accepted, the job is submitted again, and also cancelled if it has
// been reported as done. Then a job is submitted that must be rejected: it is too large for every machine and for
// most teams' limits, names an unknown team or machine type, or lacks a required field.
func (u *users) edgeCaseRequests() {
	w := u.w
	if len(u.jobsBySubmission) == 0 {
		return
	}
	j := u.jobsBySubmission[w.rng.IntN(len(u.jobsBySubmission))]
	if j.accepted {
		u.askController(w.controllers[w.rng.IntN(len(w.controllers))], j, controller.UserRequest{Op: controller.UserSubmit, Job: j.spec.ID, Body: encodeJob(j.spec)})
		if j.reportedDone {
			u.cancel(j)
		}
	}
	invalid := j.spec
	invalid.ID = fmt.Sprintf("req-8%08d", w.rng.IntN(1e8))
	wantStatus := http.StatusUnprocessableEntity
	body := encodeJob(invalid)
	switch w.rng.IntN(4) {
	case 0:
		invalid.CPUs = 1000
		body = encodeJob(invalid)
	case 1:
		invalid.Team = "nobody"
		body = encodeJob(invalid)
	case 2:
		invalid.Types = []string{"none"}
		body = encodeJob(invalid)
	case 3:
		invalid.Types, invalid.Zone, invalid.DeadlineS, invalid.Needs = nil, "", nil, nil // the optional fields are left empty, so that a required field is removed
		body, wantStatus = w.encodeWithoutRequiredField(invalid), http.StatusBadRequest
	}
	u.request(controller.UserRequest{Op: controller.UserSubmit, Job: invalid.ID, Body: body}, func(a controller.Answer) {
		switch a.Status {
		case wantStatus, 0, http.StatusServiceUnavailable, http.StatusTooManyRequests: // 0: no answer
		default:
			w.recordViolation("invented", "a job that can't run or lacks a field is answered with status %d, want %d", a.Status, wantStatus)
		}
	})
}
