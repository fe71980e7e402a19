package controller

import (
	"math"

	"pumicefront/config"
	"pumicefront/scheduler"
)

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
