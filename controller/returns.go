package controller

import (
	"log/slog"
	"net/http"
	"slices"

	"pumicefront/config"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// returnSpare gives back machines that are not needed.
func (l *lead) returnSpare() {
	for range returnMost {
		m := l.spare()
		if m == nil {
			return
		}
		l.release(m, "idle")
	}
}

// returnMachines gives back what never came up, what has gone silent and what
// was found not to be needed.
func (l *lead) returnMachines() {
	f := &l.fleet
	if f.releasing {
		return
	}
	l.releaseLost()
	var names []string
	for _, m := range l.machineOrder() {
		if m.releasing && len(names) < 100 {
			names = append(names, m.id)
		}
	}
	if len(names) == 0 {
		return
	}
	f.releasing = l.call(CloudCall{Op: CloudRelease, Names: names}, func(r CloudReply) {
		f.releasing = false
		if r.Status != http.StatusOK {
			return
		}
		for _, id := range names {
			l.forgetMachine(id)
		}
	})
}

func (l *lead) release(m *machine, why string) {
	if m.releasing {
		return
	}
	m.releasing = true
	l.c.log(slog.LevelInfo, "releasing machine", "machine", m.id, "why", why, "tasks", len(m.attempts))
}

// forgetMachine takes in that a machine and everything on it is gone.
func (l *lead) forgetMachine(id string) {
	m := l.machines[id]
	if m == nil {
		return
	}
	l.released[id] = l.c.now
	for _, a := range m.sorted() {
		l.gone(a, reduction.Reset, "machine released")
	}
	delete(l.machines, id)
}

// spare finds one idle machine whose room is not part of the headroom.
func (l *lead) spare() *machine {
	idle := config.Seconds(l.c.op.IdleS)
	if len(l.c.types) == 0 {
		return nil
	}
	var best *machine
	for _, m := range l.machineOrder() {
		// A machine is charged for a minute at least: before that nothing is saved.
		if l.c.now.Sub(m.since) < leastCharge || !m.up || len(m.attempts)+len(m.strays) > 0 || l.c.now.Sub(m.idle) < idle || m.releasing || l.silent(m) {
			continue
		}
		if best == nil || l.price(m) > l.price(best) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	without := func(s *scheduler.Machine) bool { return s.ID == best.id }
	if l.holds(slices.DeleteFunc(l.view(true, nil), without)) < l.holds(l.view(true, nil)) {
		return nil
	}
	return best
}

// holds counts the tasks, waiting and of the headroom, that machines have room for.
func (l *lead) holds(machines []*scheduler.Machine) int {
	demands := append(l.backlog(), l.headroom()...)
	scheduler.Order(demands)
	n := 0
	for _, d := range demands {
		n += len(scheduler.Place(machines, d))
	}
	return n
}

func (l *lead) price(m *machine) float64 { return priceOf(l.c.types[m.typ], m.spot) }

func priceOf(t wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
