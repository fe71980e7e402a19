package sim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pumicefront/cells"
	"pumicefront/controller"
)

const (
	cellFaults   = 150 * time.Second
	cellRecovery = 240 * time.Second
)

// playCells plays four cells of which the first gets far more than it can hold, with faults, and
// checks that every job comes to its one end and that much of it has run elsewhere.
func playCells(t *testing.T, seed uint64, fault func(c *Cluster)) *Cluster {
	t.Helper()
	c := NewCluster(seed, 4, 64)
	if os.Getenv("PUMICEFRONT_CELL_LOG") != "" {
		for _, w := range c.Worlds {
			w.Log = func(f string, args ...any) { fmt.Printf(cellName(w.place)+" "+f+"\n", args...) }
		}
	}
	for i, w := range c.Worlds {
		w.deterministic = fault != nil && seed%2 == 0
		w.begin(cellFaults - 30*time.Second)
		if i == 0 {
			w.after(2*time.Second, func() { w.users.arrive(w.shape.ArrivalInterval / 3) })
		}
	}
	if fault != nil {
		fault(c)
	}
	c.Run(cellFaults)
	c.lossless = true
	c.Run(cellFaults + cellRecovery)
	if len(c.Rules()) == 0 {
		for _, w := range c.Worlds {
			w.checkEnds()
		}
	}
	for _, r := range c.Rules() {
		t.Errorf("seed %d: %s", seed, r)
	}
	return c
}

// TestCellsSpillOver plays four cells without faults but for what the links lose.
func TestCellsSpillOver(t *testing.T) {
	for seed := range uint64(runsOf("PUMICEFRONT_CELL_RUNS", 4)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := playCells(t, seed, nil)
			if len(c.ran) < 3 {
				t.Errorf("seed %d: %d jobs have run in another cell", seed, len(c.ran))
			}
		})
	}
}

// The hard cases: the receiving cell fails while it holds work, the link is out, the home fails, a
// state service is out, and leaders change.
func TestCellFaults(t *testing.T) {
	for name, fault := range map[string]func(c *Cluster){
		"receiving cells fail": func(c *Cluster) {
			for i := 1; i < 4; i++ {
				w := c.Worlds[i]
				w.after(time.Duration(20+25*i)*time.Second, func() { w.loseCell(25 * time.Second) })
			}
		},
		"links are out": func(c *Cluster) {
			for i := 1; i < 4; i++ {
				c.Worlds[0].after(time.Duration(15+20*i)*time.Second, func() { c.SetLink(0, i, false) })
				c.Worlds[0].after(time.Duration(45+20*i)*time.Second, func() { c.SetLink(0, i, true) })
			}
		},
		"answers are lost": func(c *Cluster) {
			for i := 1; i < 4; i++ {
				c.Worlds[0].after(time.Duration(15+20*i)*time.Second, func() { c.cut[[2]int{i, 0}] = true })
				c.Worlds[0].after(time.Duration(50+20*i)*time.Second, func() { c.cut[[2]int{i, 0}] = false })
			}
		},
		"all cells are full": func(c *Cluster) {
			for _, w := range c.Worlds[1:] {
				w.after(20*time.Second, func() { w.users.arrive(w.shape.ArrivalInterval / 3) })
			}
		},
		"the home fails": func(c *Cluster) {
			w := c.Worlds[0]
			for _, at := range []time.Duration{40 * time.Second, 80 * time.Second, 110 * time.Second} {
				w.after(at, func() {
					for _, n := range w.nodes {
						n.crash(6 * time.Second)
					}
				})
			}
		},
		"state services are out": func(c *Cluster) {
			for i, w := range c.Worlds {
				w.after(time.Duration(30+22*i)*time.Second, func() { w.store.setOutage(true) })
				w.after(time.Duration(48+22*i)*time.Second, func() { w.store.setOutage(false) })
			}
		},
		"leaders change": func(c *Cluster) {
			for _, w := range c.Worlds {
				w.faults.lateWrites = 0.05
				for at := 20 * time.Second; at < cellFaults; at += 9 * time.Second {
					w.after(at+w.between(0, 8*time.Second), func() { w.leading().crash(w.between(100*time.Millisecond, 5*time.Second)) })
				}
				w.after(cellFaults, func() { w.faults.lateWrites = 0 })
			}
		},
	} {
		for seed := range uint64(runsOf("PUMICEFRONT_CELL_RUNS", 2)) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				if c := playCells(t, seed, fault); len(c.ran) == 0 {
					t.Errorf("seed %d: nothing has run in another cell", seed)
				}
			})
		}
	}
}

// declareGone has operators declare a cell gone, until that is recorded.
func declareGone(home *World, cell cells.Cell) {
	home.leading().ask(func(req uint64) controller.Input {
		return controller.CellGoneRequest{Req: req, Cell: cell, By: "operator"}
	}, func(a controller.Answer) {
		if a.Status != 200 {
			home.after(time.Second, func() { declareGone(home, cell) })
			return
		}
		home.coverage["a cell is declared gone"]++
	})
}

// Operators declare a cell gone whose machines are off: what it held runs elsewhere, and when the
// cell comes back it starts nothing of that any more.
func TestCellDeclaredGone(t *testing.T) {
	for seed := range uint64(runsOf("PUMICEFRONT_CELL_RUNS", 2)) {
		c := playCells(t, seed, func(c *Cluster) {
			lost, home := c.Worlds[1], c.Worlds[0]
			lost.after(60*time.Second, func() {
				lost.loseCell(60 * time.Second)
				for _, h := range lost.hosts {
					if !h.gone {
						h.vanish()
					}
				}
			})
			home.after(75*time.Second, func() { declareGone(home, "cell-1") })
		})
		if c.Worlds[0].coverage["a cell is declared gone"] == 0 {
			t.Error("the cell is not declared gone")
		}
	}
}

// Copies of calls that a home made before a cell was declared gone reach that cell's new leader before
// the home's next call does, some in answer to the challenge of the leader before. The leader starts
// nothing on them: its grants are over, and the home runs the jobs again. The home's leader fails
// meanwhile, and the cell's loses its state service for a while.
func TestLateCallsToACellDeclaredGone(t *testing.T) {
	const lost, back, heard = 60 * time.Second, 120 * time.Second, 150 * time.Second
	offered := 0
	for seed := range uint64(runsOf("PUMICEFRONT_CELL_RUNS", 2)) {
		copies, challenged, started := 0, 0, 0
		c := playCells(t, seed, func(c *Cluster) {
			home, gone := c.Worlds[0], c.Worlds[1]
			var kept []controller.CellRequest
			c.onCall = func(from, to *World, call controller.CellCall) {
				if from == home && to == gone && from.now < lost {
					kept = append(kept, requestOf(from, call))
					offered += len(call.Messages)
				}
			}
			gone.onStart = func(_ *host, task *task) {
				if gone.now > back && gone.now < heard && c.homes[task.job.spec.ID] == home {
					started++
				}
			}
			gone.after(lost, func() {
				c.SetLink(0, 1, false)
				gone.loseCell(back - lost)
				for _, h := range gone.hosts {
					if !h.gone {
						h.vanish()
					}
				}
			})
			home.after(lost+15*time.Second, func() { declareGone(home, "cell-1") })
			home.after(lost+40*time.Second, func() { home.leading().crash(3 * time.Second) })
			gone.after(back+12*time.Second, func() { gone.store.setOutage(true) })
			gone.after(back+18*time.Second, func() { gone.store.setOutage(false) })
			for at := back; at < heard; at += time.Second {
				gone.after(at, func() {
					for _, r := range kept[max(0, len(kept)-5):] {
						gone.askCell(0, r, func(a controller.CellReply) {
							if a.OK {
								copies++
							}
							if a.OK && r.Challenge != 0 {
								challenged++
							}
						})
					}
				})
			}
			home.after(heard, func() { c.SetLink(0, 1, true) })
		})
		if c.Worlds[0].coverage["a cell is declared gone"] == 0 || copies == 0 || challenged == 0 {
			t.Errorf("seed %d: %d copies, %d with a challenge (%v)", seed, copies, challenged, c.Worlds[0].coverage)
		}
		if started > 0 {
			t.Errorf("seed %d: %d tasks of grants that are over start", seed, started)
		}
	}
	if offered == 0 {
		t.Error("no copy is of a call with an offer")
	}
}
