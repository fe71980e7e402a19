package sim

import (
	"fmt"
	"net/http"
	"slices"

	"pumicefront/controller"
	"pumicefront/wire"
)

// lacking encodes a submission without one of its required fields.
func (w *World) lacking(s wire.Job) []byte {
	var fields map[string]any
	if err := wire.Unmarshal(body(s), &fields); err != nil {
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

// oddRequests submits a known job again, cancels it if it is done, and submits a job that
// must be refused: it fits no machine, names an unknown team or an unknown machine type, or
// lacks a required field.
func (u *users) oddRequests() {
	w := u.w
	if len(u.list) == 0 {
		return
	}
	j := u.list[w.rng.IntN(len(u.list))]
	if j.accepted {
		u.askNode(w.nodes[w.rng.IntN(len(w.nodes))], j, controller.UserRequest{Op: controller.UserSubmit, Job: j.spec.ID, Body: body(j.spec)})
		if j.doneTold {
			u.cancel(j)
		}
	}
	odd := j.spec
	odd.ID = fmt.Sprintf("req-8%08d", w.rng.IntN(1e8))
	want := http.StatusUnprocessableEntity
	raw := body(odd)
	switch w.rng.IntN(4) {
	case 0:
		odd.CPUs = 1000
		raw = body(odd)
	case 1:
		odd.Team = "nobody"
		raw = body(odd)
	case 2:
		odd.Types = []string{"none"}
		raw = body(odd)
	case 3:
		odd.Types, odd.Zone, odd.DeadlineS, odd.Needs = nil, "", nil, nil // a missing optional field is no error
		raw, want = w.lacking(odd), http.StatusBadRequest
	}
	u.request(controller.UserRequest{Op: controller.UserSubmit, Job: odd.ID, Body: raw}, func(a controller.Answer) {
		switch a.Status {
		case want, 0, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			w.broken("invented", "a job that can't run or lacks a field is answered with status %d, want %d", a.Status, want)
		}
	})
}
