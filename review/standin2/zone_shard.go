//go:build review

package main

import (
	"fmt"
	"time"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// veldbak is the machine type of the first site.
var veldbak = wire.MachineType{Name: "veldbak", CPUs: 16, MemoryGB: 64, CacheGB: 200, FetchGBps: 1, Price: 1.17, SpotPrice: 0.36, BootS: 15,
	Zones: []string{"zone-a", "zone-b"}}

// nextName returns the next name of a machine, in the order of creation, that the controllers count to the part of
// the given controller. Machines with names in between have come and gone.
func (d *deployment) nextName(part string) string {
	var members []string
	for _, n := range d.nodes {
		members = append(members, n.name)
	}
	for {
		d.cloud.mu.Lock()
		d.cloud.next++
		name := fmt.Sprintf("i-%06d", d.cloud.next)
		d.cloud.mu.Unlock()
		if scheduler.ShardOf(name, members) == part {
			return name
		}
	}
}

func service(id, class, zone string, tasks int, cores, memory float64) *job {
	return &job{spec: wire.Job{ID: id, Class: class, Team: "annotatie", Kind: wire.KindService, Priority: "prod", Tasks: tasks,
		CPUs: cores, MemoryGB: memory, Image: "img-" + class, ImageGB: 1.8, Zone: zone}}
}

// running returns how many tasks of a job run.
func (d *deployment) running(j *job) int {
	n := 0
	for _, w := range d.workers() {
		w.mu.Lock()
		for _, t := range w.tasks {
			if t.job == j && t.State == wire.TaskRunning {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}

// caseZoneShard: a job that is bound to one zone loses a machine. Another machine of the zone has room. Its lost task
// must not wait for more than 90 s.
func caseZoneShard(d *deployment, trouble bool) (bool, error) {
	d.cloud.types = []wire.MachineType{veldbak}
	if err := d.startControllers(3); err != nil {
		return false, err
	}
	otherA := d.cloud.preset(d.nextName("kraal-1"), "veldbak", "zone-a")
	for range 2 {
		d.cloud.preset(d.nextName("kraal-2"), "veldbak", "zone-b")
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	// Each of these machines runs a replica and has 14 cores left.
	fillers := []*job{service("req-000001", "archief-a", "zone-a", 1, 2, 40), service("req-000002", "archief-b", "zone-b", 2, 2, 40)}
	for _, j := range fillers {
		if err := d.submit(j); err != nil {
			return false, err
		}
	}
	if err := d.waitFor("the other services run", 15*time.Second, func() bool {
		return d.running(fillers[0]) == 1 && d.running(fillers[1]) == 2
	}); err != nil {
		return false, err
	}
	var pair []*worker
	for range 2 {
		pair = append(pair, d.cloud.preset(d.nextName("kraal-0"), "veldbak", "zone-a"))
	}
	time.Sleep(1500 * time.Millisecond) // they have reported
	bound := service("req-000003", "klankarchief", "", 2, 10, 10)
	bound.spec.OneZone = true
	if err := d.submit(bound); err != nil {
		return false, err
	}
	onPair := func() bool {
		for _, w := range pair {
			w.mu.Lock()
			one := len(w.tasks) == 1 && w.tasks[0].job == bound && w.tasks[0].State == wire.TaskRunning
			w.mu.Unlock()
			if !one {
				return false
			}
		}
		return true
	}
	if err := d.waitFor("both tasks of req-000003 run in zone-a, one on each of the two new machines", 15*time.Second, onPair); err != nil {
		return false, err
	}
	d.note("%s in zone-a has room for another task of req-000003", otherA.id)
	if trouble {
		d.cloud.stopMachine(pair[1].id, 30*time.Second)
	}
	// The trouble counts as over when the machine is deleted: by then its tasks are gone for certain.
	return d.watchWaiting(d.began.Add(116*time.Second), func() bool { return !trouble || d.cloud.deleted(pair[1].id) }), nil
}
