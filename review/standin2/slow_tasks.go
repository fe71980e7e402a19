//go:build review

package main

import (
	"fmt"
	"time"

	"pumicefront/wire"
)

// triedSlowTasks is no case: no page sets a bound that fits. Tasks in one zone run ten times as slowly as estimated,
// and a job that is bound to another zone, where the cloud has machines, waits for a machine to be rented.
func triedSlowTasks(d *deployment, trouble bool) (bool, error) {
	quick := veldbak
	quick.BootS = 3 // within the objective on starting, so that no room is kept in advance
	d.cloud.types = []wire.MachineType{quick}
	if err := d.startControllers(3); err != nil {
		return false, err
	}
	d.cloud.preset(d.nextName("kraal-0"), "veldbak", "zone-a")
	d.cloud.capacity["zone-b"] = 3
	if err := d.waitReady(); err != nil {
		return false, err
	}
	runs := 20 * time.Second
	if trouble {
		runs *= 10
	}
	array := func(id, zone string, tasks int, runs time.Duration) *job {
		return &job{runs: runs, spec: wire.Job{ID: id, Class: "herbeluister", Team: "opname", Kind: wire.KindArray, Priority: "standard",
			Tasks: tasks, CPUs: 4, MemoryGB: 8.2, Image: "img-herbeluister", ImageGB: 1.5, EstimateS: 20, Zone: zone}}
	}
	slow := array("req-000001", "zone-a", 3, runs)
	if err := d.submit(slow); err != nil {
		return false, err
	}
	if err := d.waitFor("req-000001 runs", 15*time.Second, func() bool { return d.running(slow) == 3 }); err != nil {
		return false, err
	}
	time.Sleep(18 * time.Second) // they should end within the boot time
	bound := array("req-000002", "zone-b", 1, 5*time.Second)
	if err := d.submit(bound); err != nil {
		return false, err
	}
	from := time.Now()
	for time.Since(d.began) < 114*time.Second && bound.tasksDone() == 0 {
		time.Sleep(time.Second)
	}
	fmt.Printf("req-000002, bound to zone-b: done %v after %.0f s\n", bound.tasksDone() == 1, time.Since(from).Seconds())
	return bound.tasksDone() == 1, nil
}
