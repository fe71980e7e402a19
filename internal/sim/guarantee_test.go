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

// preemptionMonitor observes which tasks the leaders stop in favour of other jobs, and checks that no
// team is brought below its guarantee for another team's work. The leader's own accounting is not
// visible here, so a team is taken to hold every task that is recorded as placed, is on a machine, or was
// placed within the last 30 s, less those stopped since. That is never less than what the leader counts.
type preemptionMonitor struct {
	w         *World
	placedAt  map[string]time.Duration // by task: when it was placed last
	stoppedAt map[string]time.Duration // by task: when it was stopped for another job last
}

// observe is a Tamper.Output that returns every output unchanged.
func (m *preemptionMonitor) observe(_ *member, o controller.Output) controller.Output {
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
		m.placedAt[task] = m.w.now
		return o
	}
	m.stoppedAt[task] = m.w.now
	victim, beneficiary := m.w.users.jobOf(task), m.w.users.jobs[fmt.Sprint(attrs["for"])]
	if victim.spec.Priority == beneficiary.spec.Priority {
		m.checkGuarantee(victim, beneficiary)
	}
	return o
}

func (m *preemptionMonitor) checkGuarantee(victim, beneficiary *simJob) {
	heldTasks := map[string]bool{}
	for key, item := range m.w.store.items {
		var record struct {
			Placed []struct {
				Task int `cbor:"t"`
			} `cbor:"p"`
		}
		if job, ok := strings.CutPrefix(key, "t/"); ok && wire.Unmarshal(item.Value, &record) == nil {
			id, _, _ := strings.Cut(job, "/")
			for _, p := range record.Placed {
				heldTasks[wire.TaskID(id, p.Task)] = true
			}
		}
	}
	for _, h := range m.w.hosts {
		for _, t := range h.tasks {
			heldTasks[t.id] = heldTasks[t.id] || t.state != wire.TaskExited
		}
	}
	for task, at := range m.placedAt {
		heldTasks[task] = heldTasks[task] || m.w.now-at < 30*time.Second
	}
	cores, gpus := 0.0, 0.0
	for task, held := range heldTasks {
		at, stopped := m.stoppedAt[task]
		if j := m.w.users.jobOf(task); held && j != nil && j.spec.Team == victim.spec.Team && !(stopped && at >= m.placedAt[task]) {
			cores, gpus = cores+j.spec.CPUs, gpus+j.spec.GPUs
		}
	}
	t := m.w.team(victim.spec.Team)
	if t.Name == beneficiary.spec.Team || victim.spec.CPUs > 0 && cores < t.CPUs-1e-6 || victim.spec.GPUs > 0 && gpus < t.GPUs-1e-6 {
		m.w.recordViolation("guarantee", "%s of %s stopped for %s of %s, which leaves %v of %v cores and %v of %v GPUs",
			victim.spec.ID, t.Name, beneficiary.spec.ID, beneficiary.spec.Team, cores, t.CPUs, gpus, t.GPUs)
	}
}

// TestGPUGuarantees runs deployments in which teams share GPUs and checks the preemptions made for
// guarantees. Then it runs controllers that are configured without one team's guarantee, and the check
// must detect that they preempt the team below it.
func TestGPUGuarantees(t *testing.T) {
	runSeed := func(seed uint64, settings func(*config.Platform)) *World {
		w := New(seed, GPUs)
		monitor := &preemptionMonitor{w: w, placedAt: map[string]time.Duration{}, stoppedAt: map[string]time.Duration{}}
		w.Tamper.Output, w.Tamper.Settings = monitor.observe, settings
		for _, n := range w.controllers {
			n.crash(time.Millisecond) // restarts the controller with these settings
		}
		RunFaults(w, faultPhase, time.Second)
		return w
	}
	for seed := range uint64(20) {
		for _, r := range runSeed(seed, nil).Violations {
			if strings.HasPrefix(r, "guarantee") {
				t.Errorf("seed %d: %s", seed, r)
			}
		}
	}
	for seed := range uint64(60) {
		w := runSeed(seed, func(p *config.Platform) {
			teams := append([]config.Team{}, p.Facts.Teams...)
			teams[1].CPUs, teams[1].GPUs = 0, 0
			p.Facts.Teams = teams
		})
		for _, r := range w.Violations {
			if strings.HasPrefix(r, "guarantee") {
				return
			}
		}
	}
	t.Error("preemption below a team's guarantee was not detected")
}
