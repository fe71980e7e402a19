package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/balance"
	"pumicefront/wire"
)

// The size of the fleet in which planning moves and a placement round are compared.
const (
	benchMachines = 4000
	benchTasks    = 3 // on each of three quarters of the machines, which have room for four
)

// loadedFleet returns the leader of a large fleet of which a quarter of the machines is empty.
func loadedFleet(b *testing.B) *leader {
	c, l := spreadingLeader(b, benchMachines)
	for i := range benchMachines * 3 / 4 {
		for task := range benchTasks {
			id := fmt.Sprintf("req-%04d%02d", i, task)
			addRunningJob(l, wire.Job{ID: id, Class: fmt.Sprint("class", i%5), Kind: wire.KindService}, fmt.Sprintf("m%04d", i))
		}
	}
	advance(l, 2*time.Minute)
	l.spreading.record.until = c.now.Add(time.Hour)
	return l
}

// BenchmarkPlan plans moves with 4,000 machines; BenchmarkRound places ten jobs of 40 tasks in the same fleet.
func BenchmarkPlan(b *testing.B) {
	l := loadedFleet(b)
	for b.Loop() {
		advance(l, time.Second)
		l.spreading.tracker = balance.NewMoveTracker(*l.spreading.settings(), l.c.now.Add(-time.Second)) // the allowance of one second has accrued
		l.spreading.plannedAt = time.Time{}
		machines := l.schedulerView(false)
		fleet := l.spreading.fleetSnapshot(machines)
		l.spreading.moveBlock()
		l.spreading.listMovableTasks(&fleet)
		if moves := planOnly(l, fleet); moves == 0 {
			b.Fatal("no moves")
		}
	}
}

// BenchmarkRound runs the placement round that planning is compared with.
func BenchmarkRound(b *testing.B) {
	l := loadedFleet(b)
	n := 0
	for b.Loop() {
		b.StopTimer()
		advance(l, time.Second)
		var added []*job
		for range 10 {
			added = append(added, addRunningJob(l, wire.Job{ID: fmt.Sprintf("req-9%05d", n), Class: "new", Kind: wire.KindArray, Tasks: 40}))
			n++
		}
		l.placementDueAt = l.c.now
		b.StartTimer()
		l.runPlacementRound()
		b.StopTimer()
		for _, j := range added {
			for _, a := range j.sortedAttempts() {
				a.machine.remove(a)
				delete(j.attempts, a.task)
			}
			delete(l.jobs, j.id)
		}
		l.jobsByAcceptance = l.jobsByAcceptance[:len(l.jobsByAcceptance)-len(added)]
		b.StartTimer()
	}
}

// planOnly plans moves without starting them, and returns their number.
func planOnly(l *leader, fleet balance.FleetSnapshot) int {
	allowance := l.spreading.tracker.Allowance(l.c.now, benchMachines, 0)
	return len(balance.Plan(fleet, *l.spreading.settings(), allowance))
}
