package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pumicefront/config"
	"pumicefront/scheduler"
)

// Team quotas: what each team is guaranteed, what limits it, and which of its jobs the guarantee covers.

// quota is a team's guarantee and limit. Whether work is admitted, has room, is within its team's guarantee or may be
// preempted for another team is always decided by it.
//
// A zero in a team's settings means that the resource is unspecified. Every task takes cores and memory, so a team with
// settings for GPUs alone could run nothing if zero were a limit. A resource without a limit is limited by the machines
// only. A team with a guarantee for one resource is also guaranteed whatever its tasks take of resources that its
// settings leave unspecified. A team without any settings is guaranteed nothing.
type quota struct{ guarantee, limit scheduler.Resources }

func quotaOf(t config.Team) quota {
	guaranteed := t.CPUs > 0 || t.GPUs > 0
	guarantee := func(amount, maximum float64) float64 {
		if guaranteed && amount == 0 && maximum == 0 {
			return math.Inf(1)
		}
		return amount
	}
	limit := func(maximum float64) float64 {
		if maximum == 0 {
			return math.Inf(1)
		}
		return maximum
	}
	return quota{
		guarantee: scheduler.Resources{CPUs: guarantee(t.CPUs, t.CPUsMax), GPUs: guarantee(t.GPUs, t.GPUsMax), MemoryGB: math.Inf(1)},
		limit:     scheduler.Resources{CPUs: limit(t.CPUsMax), GPUs: limit(t.GPUsMax), MemoryGB: math.Inf(1)},
	}
}

// idleExcess is the use beyond the guarantee of a team that uses nothing: the negated guarantee. Where the guarantee is
// infinite the excess is too, so that this resource alone never protects the team's tasks from preemption.
func (q quota) idleExcess() scheduler.Resources {
	negated := func(guarantee float64) float64 {
		if math.IsInf(guarantee, 1) {
			return guarantee
		}
		return -guarantee
	}
	g := q.guarantee
	return scheduler.Resources{CPUs: negated(g.CPUs), GPUs: negated(g.GPUs)}
}

// teamUse sums, by team, the resources of all attempts not yet proved to have ended and of jobs granted to other cells.
func (l *leader) teamUse() map[string]scheduler.Resources {
	used := map[string]scheduler.Resources{}
	for _, j := range l.jobsByAcceptance {
		used[j.spec.Team] = used[j.spec.Team].Add(taskResources(&j.spec), float64(len(j.attempts))).Add(grantedResources(j), 1)
	}
	return used
}

// excess is each team's use beyond its guarantee, without the attempts that are being stopped.
func (l *leader) excess() scheduler.Excess {
	e := scheduler.Excess{}
	for team, q := range l.c.quotas {
		e[team] = q.idleExcess()
	}
	for _, j := range l.jobsByAcceptance {
		for _, a := range j.attempts {
			if !a.stopping {
				e.Add(j.terms)
			}
		}
	}
	return e
}

func (l *leader) roomInTeam(d *scheduler.Demand, used map[string]scheduler.Resources) int {
	return l.c.quotas[d.Team].limit.Add(used[d.Team], -1).Fits(d.TaskResources)
}

// fitsGuarantee reports whether a job fits into its team's guarantee together with the team's jobs that come before it,
// and adds the job to their sum.
func (l *leader) fitsGuarantee(j *job, earlier map[string]scheduler.Resources) bool {
	sum := earlier[j.spec.Team].Add(taskResources(&j.spec), float64(j.tasksLeft()))
	earlier[j.spec.Team] = sum
	return l.c.quotas[j.spec.Team].guarantee.Fits(sum) > 0
}

// guaranteesInterval is how often the guarantees are reassigned while no job arrives.
const guaranteesInterval = 250 * time.Millisecond

// assignGuarantees marks the jobs beyond their team's guarantee as borrowed. A team's guarantee goes to its jobs in the
// order in which they are served: fewest missed objectives first, then least work left.
func (l *leader) assignGuarantees() {
	if l.c.now.Sub(l.guaranteesAssignedAt) < guaranteesInterval {
		return
	}
	l.guaranteesAssignedAt = l.c.now
	earlier := map[string]scheduler.Resources{}
	type ranked struct {
		*job
		missed int
		work   float64
	}
	order := make([]ranked, 0, len(l.jobsByAcceptance))
	for _, j := range l.jobsByAcceptance {
		if !j.cancelled && !l.blocked(j) && j.origin == nil {
			order = append(order, ranked{j, j.missedObjectives(l.c.cfg.Facts.Objectives, l.c.now), j.workLeft(l.c.measure)})
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.missed, b.missed), cmp.Compare(a.work, b.work))
	})
	for _, r := range order {
		r.job.terms.Borrowed = !l.fitsGuarantee(r.job, earlier)
	}
}
