//go:build review

package main

import (
	"os"
	"time"

	"pumicefront/wire"
)

// caseSameID: two cells. A job of the other cell has ended there; its controllers end, all, and are back. A job with the
// same id is accepted at home, granted to the other cell, and must run all the same once home has room.
func caseSameID(home *deployment, trouble bool) (bool, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return false, err
	}
	other := &deployment{repository: home.repository, dir: dir, record: home.record, began: home.began, jobs: map[string]*job{},
		client: home.client, settings: home.settings, store: newStore()}
	other.cloud = newCloud(other)
	defer other.close()
	home.cell, other.cell, home.peer, other.peer = "gent", "joburg", other, home
	for _, d := range []*deployment{home, other} {
		d.cloud.types = []wire.MachineType{veldbak}
		if err := d.addNodes(3); err != nil {
			return false, err
		}
	}
	for _, d := range []*deployment{home, other} {
		if err := d.startNodes(); err != nil {
			return false, err
		}
	}
	home.cloud.preset("i-000001", "veldbak", "zone-a")
	other.cloud.preset("i-000501", "veldbak", "zone-a")
	other.cloud.preset("i-000502", "veldbak", "zone-a")
	for _, d := range []*deployment{home, other} {
		if err := d.waitReady(); err != nil {
			return false, err
		}
	}
	array := func(id string, runs time.Duration) *job {
		return &job{runs: runs, spec: wire.Job{ID: id, Class: "herbeluister", Team: "annotatie", Kind: wire.KindArray, Priority: "standard",
			Tasks: 1, CPUs: 4, MemoryGB: 8.2, Image: "img-herbeluister", ImageGB: 1.5, EstimateS: runs.Seconds()}}
	}
	keep := service("req-000900", "klankarchief", "", 2, 2, 40)
	keepHome := service("req-000700", "klankarchief", "", 1, 2, 10) // its machine is not idle later
	full := service("req-000800", "klankarchief", "", 1, 12, 30)
	theirs := array("req-000412", 2*time.Second)
	if err := other.submit(keep); err != nil {
		return false, err
	}
	for _, j := range []*job{keepHome, full} {
		if err := home.submit(j); err != nil {
			return false, err
		}
	}
	if err := other.submit(theirs); err != nil {
		return false, err
	}
	if err := other.waitFor("the other cell tells its user that req-000412 is done", 20*time.Second, func() bool {
		_, state := other.poll(other.nodes[0], "req-000412")
		time.Sleep(500 * time.Millisecond)
		return state.State == wire.StateDone
	}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, n := range other.nodes {
			other.kill(n)
		}
		time.Sleep(3 * time.Second)
		for _, n := range other.nodes {
			if err := other.start(n); err != nil {
				return false, err
			}
		}
		if err := other.waitReady(); err != nil {
			return false, err
		}
	}
	ours := array("req-000412", 5*time.Second)
	if err := home.submit(ours); err != nil {
		return false, err
	}
	time.Sleep(9 * time.Second) // spill_after is 5 s
	for i := range 20 {
		status, _ := home.post(home.nodes[i%3].addr, wire.PathJobs+"/req-000800"+wire.PathCancel, nil, 5*time.Second)
		home.note("user: cancels req-000800: %d", status)
		if status == 200 {
			break
		}
		time.Sleep(time.Second)
	}
	home.forget("req-000800")
	return home.watchWaiting(home.began.Add(116*time.Second), func() bool { return true }), nil
}

// forget drops a cancelled job from those that are watched.
func (d *deployment) forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.jobs, id)
}
