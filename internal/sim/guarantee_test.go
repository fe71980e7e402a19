package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/wire"
)

// stops watches which tasks the leaders stop for others, and checks that no team is
// brought below its guarantee for another's. What a leader counts is known to it
// alone, so a team is taken to hold all that is on record or on a machine or was placed
// lately, less what was stopped: never less than the leader counts.
type stops struct {
	w      *World
	placed map[string]time.Duration // by task
	ended  map[string]time.Duration // stopped for others
}

// watch is a Tamper.Output that changes nothing.
func (s *stops) watch(_ *node, o controller.Output) controller.Output {
	e, ok := o.(controller.Event)
	if !ok || e.Text != "placed" && e.Text != "preempting" {
		return o
	}
	attrs := map[any]any{}
	for i := 0; i+1 < len(e.Attrs); i += 2 {
		attrs[e.Attrs[i]] = e.Attrs[i+1]
	}
	task := fmt.Sprintf("%v/%v", attrs["job"], attrs["task"])
	if e.Text == "placed" {
		s.placed[task] = s.w.now
		return o
	}
	s.ended[task] = s.w.now
	victim, gains := s.w.users.jobOf(task), s.w.users.jobs[fmt.Sprint(attrs["for"])]
	if victim.spec.Priority == gains.spec.Priority {
		s.check(victim, gains)
	}
	return o
}

func (s *stops) check(victim, gains *simJob) {
	held := map[string]bool{}
	for key, it := range s.w.store.items {
		var rec struct {
			Placed []struct {
				Task int `cbor:"t"`
			} `cbor:"p"`
		}
		if job, ok := strings.CutPrefix(key, "t/"); ok && wire.Unmarshal(it.Value, &rec) == nil {
			id, _, _ := strings.Cut(job, "/")
			for _, p := range rec.Placed {
				held[wire.TaskID(id, p.Task)] = true
			}
		}
	}
	for _, h := range s.w.hosts {
		for _, t := range h.tasks {
			held[t.id] = held[t.id] || t.state != wire.TaskExited
		}
	}
	for task, at := range s.placed {
		held[task] = held[task] || s.w.now-at < 30*time.Second
	}
	cores, gpus := 0.0, 0.0
	for task, is := range held {
		at, stopped := s.ended[task]
		if j := s.w.users.jobOf(task); is && j != nil && j.spec.Team == victim.spec.Team && !(stopped && at >= s.placed[task]) {
			cores, gpus = cores+j.spec.CPUs, gpus+j.spec.GPUs
		}
	}
	t := s.w.team(victim.spec.Team)
	if t.Name == gains.spec.Team || victim.spec.CPUs > 0 && cores < t.CPUs-1e-6 || victim.spec.GPUs > 0 && gpus < t.GPUs-1e-6 {
		s.w.broken("guarantee", "%s of %s stopped for %s of %s, which leaves %v of %v cores and %v of %v GPUs",
			victim.spec.ID, t.Name, gains.spec.ID, gains.spec.Team, cores, t.CPUs, gpus, t.GPUs)
	}
}

// TestGPUGuarantees plays runs on which GPUs are shared and watches what is stopped
// for guarantees; then with controllers that believe a team to have none.
func TestGPUGuarantees(t *testing.T) {
	play := func(seed uint64, settings func(*config.Platform)) *World {
		w := New(seed, GPUs)
		s := &stops{w: w, placed: map[string]time.Duration{}, ended: map[string]time.Duration{}}
		w.Tamper.Output, w.Tamper.Settings = s.watch, settings
		for _, n := range w.nodes {
			n.crash(time.Millisecond) // starts again with these settings
		}
		RunFaults(w, faultPhase, time.Second)
		return w
	}
	for seed := range uint64(20) {
		for _, r := range play(seed, nil).Rules {
			if strings.HasPrefix(r, "guarantee") {
				t.Errorf("seed %d: %s", seed, r)
			}
		}
	}
	for seed := range uint64(60) {
		w := play(seed, func(p *config.Platform) {
			teams := append([]config.Team{}, p.Facts.Teams...)
			teams[1].CPUs, teams[1].GPUs = 0, 0
			p.Facts.Teams = teams
		})
		for _, r := range w.Rules {
			if strings.HasPrefix(r, "guarantee") {
				return
			}
		}
	}
	t.Error("a team without its guarantee is not noticed")
}
