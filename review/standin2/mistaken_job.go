//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"pumicefront/wire"
)

// restartAfter is how long the platform leaves a controller that has ended by itself, as the brief says for the
// first site.
const restartAfter = 5 * time.Second

// keepRunning starts controllers that have ended by themselves again, and counts these ends.
func (d *deployment) keepRunning(ends *atomic.Int64, stop <-chan struct{}) {
	for _, n := range d.nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-n.done:
				}
				ends.Add(1)
				d.note("platform: %s has ended by itself", n.name)
				select {
				case <-stop:
					return
				case <-time.After(restartAfter):
				}
				if err := d.start(n); err != nil {
					d.note("platform: %v", err)
					return
				}
			}
		}()
	}
}

// caseMistakenJob: a user submits one job with a mistake in the number of cores, beside the usual jobs of others.
// No controller may end by itself.
func caseMistakenJob(d *deployment, trouble bool) (bool, error) {
	d.cloud.types = []wire.MachineType{veldbak}
	if err := d.startControllers(3); err != nil {
		return false, err
	}
	for range 3 {
		d.cloud.preset(d.nextName("kraal-0"), "veldbak", "zone-a")
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	var ends atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	d.keepRunning(&ends, stop)
	archive := service("req-000001", "klankarchief", "", 3, 2, 40)
	if err := d.submit(archive); err != nil {
		return false, err
	}
	if err := d.waitFor("the service runs", 15*time.Second, func() bool { return d.running(archive) == 3 }); err != nil {
		return false, err
	}
	batch := func(number, tasks int, cores, memory float64) *job {
		return &job{runs: 20 * time.Second, spec: wire.Job{ID: fmt.Sprintf("req-%06d", number), Class: "herbeluister", Team: "opname",
			Kind: wire.KindArray, Priority: "standard", Tasks: tasks, CPUs: cores, MemoryGB: memory, Image: "img-herbeluister", ImageGB: 1.5, EstimateS: 20}}
	}
	go func() { // the usual jobs: 6.8 a minute
		for number := 2; time.Since(d.began) < 60*time.Second; number++ {
			go func() { _ = d.submit(batch(number, 2, 4, 8.2)) }() // a failure is in the record
			time.Sleep(8800 * time.Millisecond)
		}
	}()
	if err := d.waitFor("req-000002 runs", 15*time.Second, func() bool { return d.job("req-000002") != nil && d.running(d.job("req-000002")) == 2 }); err != nil {
		return false, err
	}
	// No machine has 60 GB left, so this job waits, as any job may. Its user meant 0.5 cores.
	cores := 0.5
	if trouble {
		cores = 0.5e-18
	}
	mistaken := batch(99, 2, cores, 60)
	if err := d.submit(mistaken); err != nil {
		d.note("the mistaken job was not accepted: %v", err)
	}
	asked, answered := 0, 0
	for i := 0; time.Since(d.began) < 75*time.Second; i++ {
		for _, id := range []string{"req-000002", archive.spec.ID} {
			asked++
			if status, _ := d.poll(d.nodes[i%len(d.nodes)], id); status == http.StatusOK {
				answered++
			}
		}
		time.Sleep(2500 * time.Millisecond)
	}
	d.note("check: %d controllers have ended by themselves; %d of %d questions were answered", ends.Load(), answered, asked)
	fmt.Printf("%d controllers have ended by themselves\n", ends.Load())
	return ends.Load() == 0, nil
}
