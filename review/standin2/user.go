//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"pumicefront/wire"
)

// job is a job of a user.
type job struct {
	spec  wire.Job
	runs  time.Duration                    // of a task
	fails func(w *worker, number int) bool // whether an attempt of a task that starts now on a machine fails; nil: none does
	mu    sync.Mutex
	done  map[int]bool

	accepted time.Time
}

func (j *job) finish(number int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[number] = true
}

func (j *job) tasksDone() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.done)
}

// submission is a job in the form in which users submit it: fields that are null are left out.
func submission(s wire.Job) map[string]any {
	m := map[string]any{"uid": s.ID, "lane": s.Class, "crew": s.Team, "shape": s.Kind, "urgency": s.Priority, "pieces": s.Tasks,
		"cores": s.CPUs, "gpus": s.GPUs, "ram_gb": s.MemoryGB, "bundle": s.Image, "size_gb": s.ImageGB, "one_zone": s.OneZone,
		"scatter": s.Spread, "lendable": s.Spot, "reckon_s": s.EstimateS, "mark_s": s.CheckpointS, "stash_s": s.SaveS}
	if len(s.Types) > 0 {
		m["builds"] = s.Types
	}
	if s.Zone != "" {
		m["yard"] = s.Zone
	}
	return m
}

// submit uploads a job and submits it until it is accepted.
func (d *deployment) submit(j *job) error {
	j.done = map[int]bool{}
	d.mu.Lock()
	d.jobs[j.spec.ID] = j
	d.mu.Unlock()
	body := wire.Marshal(submission(j.spec))
	for i := range 30 {
		n := d.nodes[i%len(d.nodes)]
		status, raw := d.post(n.addr, wire.PathJobs, body, 5*time.Second)
		var state wire.JobState
		_ = wire.Unmarshal(raw, &state)
		d.note("user: submits %s to %s: %d %s", j.spec.ID, n.name, status, state.State)
		switch status {
		case http.StatusCreated, http.StatusOK:
			d.mu.Lock()
			j.accepted = time.Now()
			d.mu.Unlock()
			return nil
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return fmt.Errorf("%s was refused: %d", j.spec.ID, status)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s was not accepted", j.spec.ID)
}

// poll asks one controller for the state of a job.
func (d *deployment) poll(n *node, id string) (int, wire.JobState) {
	status, raw := d.request(http.MethodGet, n.addr, wire.PathJobs+"/"+id, nil, 2*time.Second)
	var state wire.JobState
	_ = wire.Unmarshal(raw, &state)
	d.note("user: asks %s for %s: %d %s, done %d, running %d", n.name, id, status, state.State, state.Done, state.Running)
	return status, state
}
