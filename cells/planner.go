package cells

import "cmp"

// Waiting is a job that may go to another cell.
type Waiting struct {
	Job  string  // the job's id
	Size float64 // in cores, of all its tasks
}

// Move is a job that should go to a cell.
type Move struct {
	Job string // the job's id
	To  Cell   // the cell that should run it
}

// Plan sends jobs, in the order in which they come, whole to the cell that has most room then. A job
// for which no cell has room stays. A linear program over all jobs and cells at once moves little more
// (planner_test.go), and would have to be rounded to whole jobs.
func Plan(waiting []Waiting, room map[Cell]float64) []Move {
	left := map[Cell]float64{}
	for cell, cores := range room {
		left[cell] = cores
	}
	var moves []Move
	for _, job := range waiting {
		to := roomiest(left)
		if to == "" || left[to] < job.Size {
			continue
		}
		left[to] -= job.Size
		moves = append(moves, Move{job.Job, to})
	}
	return moves
}

// roomiest is the cell with most room, the first by name among equals.
func roomiest(room map[Cell]float64) Cell {
	best := Cell("")
	for cell := range room {
		if best == "" || cmp.Or(cmp.Compare(room[cell], room[best]), cmp.Compare(best, cell)) > 0 {
			best = cell
		}
	}
	return best
}
