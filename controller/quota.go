package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pumicefront/config"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Team quotas: what each team is guaranteed, what limits it, and which of its jobs the guarantee covers.

// quota is a team's guarantee and limit. All decisions that depend on a team's settings use it: whether work is admitted,
// whether it has room, whether it is within its team's guarantee and whether it may be preempted for another team.
//
// A zero in a team's settings means that the resource is unspecified. Every task takes cores and memory, so a team with
// settings for GPUs alone could run nothing if zero were a limit. A resource without a limit is limited by the machines
// only. A team with a guarantee for one resource is also guaranteed whatever its tasks take of resources that its
// settings leave unspecified. A team without any settings is guaranteed nothing.
type quota struct{ guarantee, limit scheduler.Resources }

// quotaOf returns the quota that follows from a team's settings. An unspecified limit is infinite. So is a team's
// guarantee for a resource without a guarantee or a limit in its settings, if the team has a guarantee for another
// resource. Memory and task slots are never restricted.
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
		guarantee: scheduler.Resources{CPUs: guarantee(t.CPUs, t.CPUsMax), GPUs: guarantee(t.GPUs, t.GPUsMax), MemoryGB: math.Inf(1), Slots: math.Inf(1)},
		limit:     scheduler.Resources{CPUs: limit(t.CPUsMax), GPUs: limit(t.GPUsMax), MemoryGB: math.Inf(1), Slots: math.Inf(1)},
	}
}

// idleExcess returns the excess of a team that uses nothing: the negated guarantee. For a resource with an infinite
// guarantee the excess is positive infinity instead: negated, it would protect all the team's tasks that use the resource
// from preemption, whatever the team uses of other resources. Memory and task slots are left at 0: they are never
// guaranteed, and scheduler.Excess ignores them.
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

// room returns how many more tasks the limit allows of a team that uses the given resources.
func (q quota) room(used, task scheduler.Resources) int { return q.limit.Add(used, -1).Fits(task) }

// teamUse sums, by team, the resources of all attempts whose end is not yet proved and of the unfinished tasks of jobs
// granted to other cells.
func (l *leader) teamUse() map[string]scheduler.Resources {
	used := map[string]scheduler.Resources{}
	for _, j := range l.jobsByAcceptance {
		used[j.spec.Team] = used[j.spec.Team].Add(taskResources(&j.spec), float64(len(j.attempts))).Add(grantedResources(j), 1)
	}
	return used
}

// teamUseByServices sums, by team, the resources of the attempts of services, which do not end by themselves.
func (l *leader) teamUseByServices() map[string]scheduler.Resources {
	used := map[string]scheduler.Resources{}
	for _, j := range l.jobsByAcceptance {
		if j.spec.Kind == wire.KindService {
			used[j.spec.Team] = used[j.spec.Team].Add(taskResources(&j.spec), float64(len(j.attempts)))
		}
	}
	return used
}

// excess returns each team's use minus its guarantee, negative where the team uses less than that. Attempts that are
// being stopped do not count as use.
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

// roomInTeam returns how many more tasks of a demand the limit of its team allows, given the use of all teams.
func (l *leader) roomInTeam(d *scheduler.Demand, used map[string]scheduler.Resources) int {
	return l.c.quotas[d.Team].room(used[d.Team], d.TaskResources)
}

// fitsGuarantee adds the unfinished tasks of a job to its team's sum in teamSums, and reports whether the new sum fits
// into the team's guarantee. It is called for the jobs in the order in which they are served.
func (l *leader) fitsGuarantee(j *job, teamSums map[string]scheduler.Resources) bool {
	sum := teamSums[j.spec.Team].Add(j.terms.GuaranteeUse(), float64(j.tasksLeft()))
	teamSums[j.spec.Team] = sum
	return l.c.quotas[j.spec.Team].guarantee.Fits(sum) > 0
}

// guaranteesInterval is the minimum time between two assignments of the guarantees. It is not waited for after a job is
// added or the grant of a job to another cell changes, which both reset guaranteesAssignedAt.
const guaranteesInterval = 250 * time.Millisecond

// assignGuarantees marks the jobs beyond their team's guarantee as borrowed. A team's guarantee goes to its jobs in the
// order in which they are served: fewest missed objectives first, then least work left. Cancelled and blocked jobs and
// jobs granted by other cells are left out.
func (l *leader) assignGuarantees() {
	if l.c.now.Sub(l.guaranteesAssignedAt) < guaranteesInterval {
		return
	}
	l.guaranteesAssignedAt = l.c.now
	teamSums := map[string]scheduler.Resources{}
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
		r.job.terms.MemoryCores = r.job.spec.MemoryGB * l.c.measure.CoresPerGB
		r.job.terms.Borrowed = !l.fitsGuarantee(r.job, teamSums)
	}
}
