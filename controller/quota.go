package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pumicefront/config"
	"pumicefront/scheduler"
)

// Teams: what each is guaranteed, what limits it, and which of its jobs the guarantee goes to.

// quota is what a team is guaranteed and what limits it. Everything that asks
// whether work may be accepted, has room, is within its guarantee or may be stopped
// for another team's goes by it.
//
// A zero says nothing of its resource: every task takes cores and memory, and a
// team that is given GPUs alone could otherwise run nothing. So no limit in a
// resource leaves it to the machines; and a team that is guaranteed something is
// guaranteed with it whatever its tasks take of resources that its settings don't
// name at all. A team of which nothing is said is guaranteed nothing.
type quota struct{ guarantee, limit scheduler.Resources }

func quotaOf(t config.Team) quota {
	guaranteed := t.CPUs > 0 || t.GPUs > 0
	guarantee := func(amount, most float64) float64 {
		if guaranteed && amount == 0 && most == 0 {
			return math.Inf(1)
		}
		return amount
	}
	limit := func(most float64) float64 {
		if most == 0 {
			return math.Inf(1)
		}
		return most
	}
	return quota{
		guarantee: scheduler.Resources{CPUs: guarantee(t.CPUs, t.CPUsMax), GPUs: guarantee(t.GPUs, t.GPUsMax), MemoryGB: math.Inf(1)},
		limit:     scheduler.Resources{CPUs: limit(t.CPUsMax), GPUs: limit(t.GPUsMax), MemoryGB: math.Inf(1)},
	}
}

// excess is the use beyond the guarantee of a team that uses nothing. What is
// guaranteed without bound never holds a stop back by itself.
func (q quota) excess() scheduler.Resources {
	beyond := func(guarantee float64) float64 {
		if math.IsInf(guarantee, 1) {
			return guarantee
		}
		return -guarantee
	}
	g := q.guarantee
	return scheduler.Resources{CPUs: beyond(g.CPUs), GPUs: beyond(g.GPUs)}
}

// teamUse counts every attempt not proved gone.
func (l *leader) teamUse() map[string]scheduler.Resources {
	used := map[string]scheduler.Resources{}
	for _, j := range l.order {
		used[j.spec.Team] = used[j.spec.Team].Add(jobEach(&j.spec), float64(len(j.attempts))).Add(grantedUse(j), 1)
	}
	return used
}

// excess is what each team uses beyond its guarantee, less what is being stopped.
func (l *leader) excess() scheduler.Excess {
	e := scheduler.Excess{}
	for team, q := range l.c.quotas {
		e[team] = q.excess()
	}
	for _, j := range l.order {
		for _, a := range j.attempts {
			if !a.stopping {
				e.Use(j.terms)
			}
		}
	}
	return e
}

func (l *leader) roomInTeam(d *scheduler.Demand, used map[string]scheduler.Resources) int {
	return l.c.quotas[d.Team].limit.Add(used[d.Team], -1).Fits(d.Each)
}

// within reports whether a job fits into its team's guarantee together with the
// team's jobs that come before it, and adds it to those.
func (l *leader) within(j *job, earlier map[string]scheduler.Resources) bool {
	sum := earlier[j.spec.Team].Add(jobEach(&j.spec), float64(j.tasksLeft()))
	earlier[j.spec.Team] = sum
	return l.c.quotas[j.spec.Team].guarantee.Fits(sum) > 0
}

// guaranteesEvery is how often the guarantees are dealt out anew where no job has come.
const guaranteesEvery = 250 * time.Millisecond

// assignGuarantees marks the jobs beyond their team's guarantee. Which of its jobs a team's
// guarantee goes to follows the order in which they are served.
func (l *leader) assignGuarantees() {
	if l.c.now.Sub(l.guaranteesAt) < guaranteesEvery {
		return
	}
	l.guaranteesAt = l.c.now
	earlier := map[string]scheduler.Resources{}
	type ranked struct {
		*job
		late int
		work float64
	}
	order := make([]ranked, 0, len(l.order))
	for _, j := range l.order {
		if !j.cancelled && !l.blocked(j) && j.origin == nil {
			order = append(order, ranked{j, j.missed(l.c.cfg.Facts.Objectives, l.c.now), j.workLeft(l.c.measure)})
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.late, b.late), cmp.Compare(a.work, b.work))
	})
	for _, r := range order {
		r.job.terms.Borrowed = !l.within(r.job, earlier)
	}
}
