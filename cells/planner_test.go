package cells

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// coresMoved returns the total size of the jobs that Plan moves. It fails the test if a cell gets more than it
// has room for.
func coresMoved(t *testing.T, pending []PendingJob, room map[Cell]float64) float64 {
	sizes, used, all := map[string]float64{}, map[Cell]float64{}, 0.0
	for _, job := range pending {
		sizes[job.Job] = job.Size
	}
	for _, transfer := range Plan(pending, room) {
		size, known := sizes[transfer.Job]
		if !known {
			t.Fatalf("%s is moved twice", transfer.Job)
		}
		delete(sizes, transfer.Job)
		used[transfer.To] += size
		all += size
	}
	for cell, cores := range used {
		if cores > room[cell]+1e-9 {
			t.Fatalf("%v cores for %s, which has room for %v", cores, cell, room[cell])
		}
	}
	return all
}

// fractionalBound returns the largest total size that any plan could move if jobs were divisible. It solves a
// linear program over the share x[i][j] of job i that goes to cell j, with a slack variable for each job and
// each cell.
func fractionalBound(t *testing.T, pending []PendingJob, rooms []float64) float64 {
	jobs, cells := len(pending), len(rooms)
	variables := jobs*cells + jobs + cells
	a := mat.NewDense(jobs+cells, variables, nil)
	b, c := make([]float64, jobs+cells), make([]float64, variables)
	for i, job := range pending {
		for j := range rooms {
			a.Set(i, i*cells+j, 1)
			a.Set(jobs+j, i*cells+j, job.Size)
			c[i*cells+j] = -job.Size
		}
		a.Set(i, jobs*cells+i, 1)
		b[i] = 1
	}
	for j, room := range rooms {
		a.Set(jobs+j, jobs*cells+jobs+j, 1)
		b[jobs+j] = room
	}
	most, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	if err != nil {
		t.Fatal(err)
	}
	return -most
}

// The greedy plan moves nearly as much as the bound of the linear program. If it did not, it should be
// replaced.
func TestGreedyPlanAgainstLinearProgram(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	greedy, optimal, worst := 0.0, 0.0, 1.0
	const draws = 300
	for range draws {
		var pending []PendingJob
		for i := range 4 + rng.IntN(16) {
			pending = append(pending, PendingJob{fmt.Sprint(i), float64(1+rng.IntN(8)) * float64(1+rng.IntN(50))})
		}
		room, rooms := map[Cell]float64{}, []float64{}
		for j := range 1 + rng.IntN(4) {
			cores := float64(rng.IntN(1200))
			room[Cell('b'+rune(j))], rooms = cores, append(rooms, cores)
		}
		got, most := coresMoved(t, pending, room), fractionalBound(t, pending, rooms)
		greedy, optimal = greedy+got, optimal+most
		if most > 0 {
			worst = min(worst, got/most)
		}
	}
	t.Logf("the greedy plan moves %.1f%% of what a linear program could in %d draws, %.1f%% in the worst", 100*greedy/optimal, draws, 100*worst)
	if greedy < 0.9*optimal {
		t.Errorf("%.1f%% of the bound", 100*greedy/optimal)
	}
}
