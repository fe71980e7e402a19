package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/balance"
	"pumicefront/wire"
)

// The sizes of the fleet in which a plan and a round are compared.
const (
	benchMachines = 4000
	benchTasks    = 3 // on each of three quarters of them, of four that fit
)

// loaded is a leader of a large fleet of which a quarter of the machines is empty.
func loaded(b *testing.B) *leader {
	c, l := spreadingLeader(b, benchMachines)
	for i := range benchMachines * 3 / 4 {
		for task := range benchTasks {
			id := fmt.Sprintf("req-%04d%02d", i, task)
			runs(l, wire.Job{ID: id, Class: fmt.Sprint("class", i%5), Kind: wire.KindService}, fmt.Sprintf("m%04d", i))
		}
	}
	pass(l, 2*time.Minute)
	l.spreading.record.until = c.now.Add(time.Hour)
	return l
}

// BenchmarkPlan makes a plan of moves at 4,000 machines; BenchmarkRound places ten jobs of 40 tasks there.
func BenchmarkPlan(b *testing.B) {
	l := loaded(b)
	for b.Loop() {
		pass(l, time.Second)
		l.spreading.ledger = balance.NewLedger(*l.spreading.settings(), l.c.now.Add(-time.Second)) // moves of a second are saved up
		l.spreading.plannedAt = time.Time{}
		machines := l.view(false)
		picture := l.spreading.picture(machines)
		l.spreading.blocked()
		l.spreading.listTasks(&picture)
		if moves := planOnly(l, picture); moves == 0 {
			b.Fatal("no moves")
		}
	}
}

// BenchmarkRound is the round that a plan is compared with.
func BenchmarkRound(b *testing.B) {
	l := loaded(b)
	n := 0
	for b.Loop() {
		b.StopTimer()
		pass(l, time.Second)
		var added []*job
		for range 10 {
			added = append(added, runs(l, wire.Job{ID: fmt.Sprintf("req-9%05d", n), Class: "new", Kind: wire.KindArray, Tasks: 40}))
			n++
		}
		l.placeAt = l.c.now
		b.StartTimer()
		l.place()
		b.StopTimer()
		for _, j := range added {
			for _, a := range j.sortedAttempts() {
				a.machine.remove(a)
				delete(j.attempts, a.task)
			}
			delete(l.jobs, j.id)
		}
		l.order = l.order[:len(l.order)-len(added)]
		b.StartTimer()
	}
}

// planOnly makes a plan and carries nothing of it out.
func planOnly(l *leader, picture balance.Picture) int {
	allowed := l.spreading.ledger.Allowance(l.c.now, benchMachines, 0)
	return len(balance.Plan(picture, *l.spreading.settings(), allowed))
}
