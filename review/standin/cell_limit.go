//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"pumicefront/wire"
)

// cellLimit: a batch that finds no machine in its own cell is granted to another one, and while the state service takes
// 400 ms for that transaction, more of the same team's work is accepted at home.
func cellLimit() {
	home, away := prepareDeployment(withoutLarge(karoo), "joburg", 3), prepareDeployment(karoo, "brussel", 3)
	home.others, away.others = []*deployment{away}, []*deployment{home}
	writeCellSettings(home, "joburg", away, "brussel")
	writeCellSettings(away, "brussel", home, "joburg")
	const team, limit = "kliniekdiens", 160.0
	var once sync.Once
	check := func(w *worker, t *workerTask) {
		if cores := home.coresInUse(team) + away.coresInUse(team); cores > limit+1e-6 {
			once.Do(func() {
				home.breach("quota: team %s of the home cell uses %v of %v cores as %s starts on %s", team, cores, limit, t.id, w.id)
			})
		}
	}
	home.onStart, away.onStart = check, check
	granting := make(chan struct{}, 1)
	home.state.hold = func(path string, body []byte) {
		if path != wire.PathTxn || !isGrant(body) {
			return
		}
		select {
		case granting <- struct{}{}:
		default:
			return
		}
		home.log("the transaction that grants the batch arrives at the state service")
		if trouble() {
			time.Sleep(400 * time.Millisecond)
		}
		home.log("the transaction that grants the batch is carried out")
	}
	home.startProcesses()
	away.startProcesses()
	home.awaitHealthy(15 * time.Second)
	away.awaitHealthy(15 * time.Second)

	service := wire.Job{Class: "poortwag", Kind: wire.KindService, Priority: "prod", Tasks: 30, CPUs: 2, MemoryGB: 12, Image: "img-01", ImageGB: 0.7}
	first := service
	first.Team = "winkelnet"
	earlier := home.newJob(first, 0)
	if !home.submit(earlier) {
		fatal("the first service was not accepted")
	}
	batch := home.newJob(wire.Job{Class: "bulkstuur", Team: team, Kind: wire.KindArray, Priority: "standard", Tasks: 15, CPUs: 8, MemoryGB: 30,
		Image: "img-02", ImageGB: 1.8, EstimateS: 30}, 30*time.Second)
	if !home.submit(batch) {
		fatal("the batch was not accepted")
	}
	time.Sleep(16 * time.Second) // its cell may hand it on after 20 s
	home.cancel(earlier)
	select {
	case <-granting:
	case <-time.After(30 * time.Second):
		fatal("the batch was not granted to the other cell")
	}
	granting <- struct{}{} // only the first such transaction is held
	later := service
	later.Team = team
	second := home.newJob(later, 0)
	if !home.submit(second) {
		fatal("the second service was not accepted")
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		home.log("team %s: %v cores at home, %v in the other cell, limit %v", team, home.coresInUse(team), away.coresInUse(team), limit)
	}
	if away.coresInUse(team) == 0 && !away.hasStarted(wire.TaskID(batch.spec.ID, 0)) {
		fatal("the batch did not run in the other cell")
	}
	home.finish()
}

// withoutLarge returns a site whose cloud has no large machine to give.
func withoutLarge(s site) site {
	s.capacity = map[string]int{"kleinkas": s.capacity["kleinkas"]}
	return s
}

// isGrant reports whether a transaction writes the header of a job with a grant to another cell.
func isGrant(body []byte) bool {
	var t wire.Txn
	if wire.Unmarshal(body, &t) != nil {
		return false
	}
	for _, c := range t.Then {
		var header struct {
			Grant *struct{} `cbor:"g"`
		}
		if strings.HasPrefix(c.Put, "c/j/") && wire.Unmarshal(c.Value, &header) == nil && header.Grant != nil {
			return true
		}
	}
	return false
}

// writeCellSettings writes the operators' files of a cell's controllers: deploy/cell.hcl with the cell's own name and
// addresses and with the other cell as its only peer.
func writeCellSettings(d *deployment, name string, peer *deployment, peerName string) {
	raw, err := os.ReadFile(filepath.Join(d.root, "deploy/cell.hcl"))
	if err != nil {
		fatal("%v", err)
	}
	common, _, found := strings.Cut(string(raw), "cell {")
	if !found {
		fatal("no cell block in deploy/cell.hcl")
	}
	for i, n := range d.nodes {
		n.operatorsPath = filepath.Join(d.dir, fmt.Sprintf("%s.hcl", n.name))
		var addresses []string
		for _, o := range peer.nodes {
			addresses = append(addresses, fmt.Sprintf("%q", o.cellAddr))
		}
		text := common + fmt.Sprintf("cell {\n  name = %q\n  listen = %q\n  spill_after = \"20s\"\n  return_after = \"30s\"\n  lend_cores = 200\n  peer %q {\n    addresses = [%s]\n  }\n}\n",
			name, d.nodes[i].cellAddr, peerName, strings.Join(addresses, ", "))
		if err := os.WriteFile(n.operatorsPath, []byte(text), 0o600); err != nil {
			fatal("%v", err)
		}
	}
}
