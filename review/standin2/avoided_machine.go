//go:build review

package main

import (
	"errors"
	"time"

	"pumicefront/wire"
)

// The machine types of the second site.
var (
	kleinkas = wire.MachineType{Name: "kleinkas", CPUs: 4, MemoryGB: 32, CacheGB: 200, FetchGBps: 1, Price: 0.36, SpotPrice: 0.13, BootS: 35,
		Zones: []string{"zone-a"}}
	grootkas = wire.MachineType{Name: "grootkas", CPUs: 32, MemoryGB: 256, CacheGB: 200, FetchGBps: 1, Price: 2.67, SpotPrice: 0.92, BootS: 30,
		Zones: []string{"zone-a"}}
)

// caseAvoidedMachine: one attempt of a task ends with an error on the only machine that its job fits. The machine
// goes on and has room. The task must not wait for more than 90 s.
func caseAvoidedMachine(d *deployment, trouble bool) (bool, error) {
	d.cloud.types = []wire.MachineType{kleinkas, grootkas}
	if err := d.startControllers(3); err != nil {
		return false, err
	}
	for range 3 {
		d.cloud.preset(d.nextName("kraal-0"), "kleinkas", "zone-a")
	}
	large := d.cloud.preset(d.nextName("kraal-0"), "grootkas", "zone-a")
	if err := d.waitReady(); err != nil {
		return false, err
	}
	// Every machine runs a replica, so that none is idle.
	small := service("req-000001", "poortwag", "", 3, 2, 20)
	small.spec.Types = []string{"kleinkas"}
	gateway := service("req-000002", "poortwag", "", 1, 2, 12)
	gateway.spec.Types = []string{"grootkas"}
	for _, j := range []*job{small, gateway} {
		if err := d.submit(j); err != nil {
			return false, err
		}
	}
	if err := d.waitFor("the services run", 15*time.Second, func() bool { return d.running(small) == 3 && d.running(gateway) == 1 }); err != nil {
		return false, err
	}
	failures := 0
	batch := func(id string) *job {
		return &job{runs: 8 * time.Second, spec: wire.Job{ID: id, Class: "bulkstuur", Team: "annotatie", Kind: wire.KindArray,
			Priority: "standard", Tasks: 1, CPUs: 8, MemoryGB: 30, Image: "img-bulkstuur", ImageGB: 1.8, EstimateS: 8}}
	}
	first := batch("req-000003")
	first.fails = func(*worker, int) bool {
		failures++ // under the worker's lock, and only one machine fits
		return trouble && failures == 1
	}
	if err := d.submit(first); err != nil {
		return false, err
	}
	held := make(chan bool, 1)
	go func() { held <- d.watchWaiting(d.began.Add(116*time.Second), func() bool { return true }) }()
	time.Sleep(15 * time.Second)
	second := batch("req-000004") // shows that the machine and jobs of this kind are in order
	if err := d.submit(second); err != nil {
		return false, err
	}
	if err := d.waitFor("req-000004, which is of the same kind, has run on "+large.id, 40*time.Second, func() bool { return second.tasksDone() == 1 }); err != nil {
		return false, errors.Join(err, errors.New("the machine doesn't run jobs of this kind"))
	}
	return <-held, nil
}
