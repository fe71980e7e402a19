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

// preemptionMonitor observes which tasks the leaders preempt. It checks that a preemption for a job of the
// same priority never takes a team below its guarantee. The leader's own accounting is not visible to the
// test, so the monitor counts as a team's usage every task that is recorded as placed, is on a machine, or
// was placed within the last 30 s, less those preempted since. That is never less than what the leader counts.
type preemptionMonitor struct {
	w           *World
	placedAt    map[string]time.Duration // by task: when it was last placed
	preemptedAt map[string]time.Duration // by task: when it was last preempted
}

// observe is a Tamper.Output hook; it returns every output unchanged.
func (m *preemptionMonitor) observe(_ *member, o controller.Output) controller.Output {
	e, ok := o.(controller.LogRecord)
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
	m.preemptedAt[task] = m.w.now
	victim, beneficiary := m.w.users.jobOf(task), m.w.users.jobs[fmt.Sprint(attrs["for"])]
	if victim.spec.Priority == beneficiary.spec.Priority {
		m.checkGuarantee(victim, beneficiary)
	}
	return o
}

// checkGuarantee records a violation if a task of victim was preempted for beneficiary, a job of the same priority,
// although both belong to one team, or if the tasks that remain to victim's team use less than its guarantee of cores
// or GPUs. Only resources that victim requests are compared, with a tolerance of 1e-6 for rounding.
func (m *preemptionMonitor) checkGuarantee(victim, beneficiary *simJob) {
	countedTasks := map[string]bool{}
	for key, item := range m.w.store.items {
		var chunkRecord struct {
			Placed []struct {
				Task int `cbor:"t"`
			} `cbor:"p"`
		}
		if job, ok := strings.CutPrefix(key, "t/"); ok && wire.Unmarshal(item.Value, &chunkRecord) == nil {
			id, _, _ := strings.Cut(job, "/")
			for _, p := range chunkRecord.Placed {
				countedTasks[wire.TaskID(id, p.Task)] = true
			}
		}
	}
	for _, h := range m.w.hosts {
		for _, t := range h.tasks {
			countedTasks[t.id] = countedTasks[t.id] || t.state != wire.TaskExited
		}
	}
	for task, at := range m.placedAt {
		countedTasks[task] = countedTasks[task] || m.w.now-at < 30*time.Second
	}
	cores, gpus := 0.0, 0.0
	for task, counted := range countedTasks {
		at, preempted := m.preemptedAt[task]
		if j := m.w.users.jobOf(task); counted && j != nil && j.spec.Team == victim.spec.Team && !(preempted && at >= m.placedAt[task]) {
			cores, gpus = cores+j.spec.CPUs, gpus+j.spec.GPUs
		}
	}
	team := m.w.team(victim.spec.Team)
	if team.Name == beneficiary.spec.Team || victim.spec.CPUs > 0 && cores < team.CPUs-1e-6 || victim.spec.GPUs > 0 && gpus < team.GPUs-1e-6 {
		m.w.recordViolation("guarantee", "task of job %s of team %s preempted for job %s of team %s, which leaves %v of %v guaranteed cores and %v of %v guaranteed GPUs",
			victim.spec.ID, team.Name, beneficiary.spec.ID, beneficiary.spec.Team, cores, team.CPUs, gpus, team.GPUs)
	}
}

// TestGPUGuarantees runs deployments in which teams share GPUs and checks the preemptions made for
// guarantees. Then it runs controllers whose settings lack the guarantee of one team. They preempt that team's
// tasks below the guarantee, and the monitor, which knows the guarantee, must detect it in at least one run.
func TestGPUGuarantees(t *testing.T) {
	runSeed := func(seed uint64, settings func(*config.Platform)) *World {
		w := New(seed, GPUs)
		monitor := &preemptionMonitor{w: w, placedAt: map[string]time.Duration{}, preemptedAt: map[string]time.Duration{}}
		w.Tamper.Output, w.Tamper.Settings = monitor.observe, settings
		for _, n := range w.controllers {
			n.crash(time.Millisecond) // restarts the controller with these settings
		}
		RunFaults(w, faultPhase, time.Second)
		return w
	}
	for seed := range uint64(20) {
		for _, violation := range runSeed(seed, nil).Violations {
			if strings.HasPrefix(violation, "guarantee") {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
	}
	for seed := range uint64(60) {
		w := runSeed(seed, func(p *config.Platform) {
			teams := append([]config.Team{}, p.Facts.Teams...)
			teams[1].CPUs, teams[1].GPUs = 0, 0
			p.Facts.Teams = teams
		})
		for _, violation := range w.Violations {
			if strings.HasPrefix(violation, "guarantee") {
				return
			}
		}
	}
	t.Error("preemption below a team's guarantee was not detected")
}
