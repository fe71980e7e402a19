package cells

import "cmp"

// PendingJob is a job that may go to another cell.
type PendingJob struct {
	Job  string  // the job's id
	Size float64 // size of all its tasks, in cores
}

// Transfer is a decision to transfer a job to another cell.
type Transfer struct {
	Job string // the job's id
	To  Cell   // the cell that should run it
}

// Plan assigns each job whole, in the given order, to the cell that has the most room at that point. A job
// for which no cell has room stays. A linear program over all jobs and cells at once moves little more
// (planner_test.go), and its result would have to be rounded to whole jobs.
func Plan(pending []PendingJob, room map[Cell]float64) []Transfer {
	left := map[Cell]float64{}
	for cell, cores := range room {
		left[cell] = cores
	}
	var transfers []Transfer
	for _, job := range pending {
		to := cellWithMostRoom(left)
		if to == "" || left[to] < job.Size {
			continue
		}
		left[to] -= job.Size
		transfers = append(transfers, Transfer{job.Job, to})
	}
	return transfers
}

// cellWithMostRoom returns the cell with the most room, the first by name among equals, and "" if there are no
// cells.
func cellWithMostRoom(room map[Cell]float64) Cell {
	best := Cell("")
	for cell := range room {
		if best == "" || cmp.Or(cmp.Compare(room[cell], room[best]), cmp.Compare(best, cell)) > 0 {
			best = cell
		}
	}
	return best
}
