//go:build review

package main

import (
	"strings"
	"syscall"
	"time"

	"pumicefront/wire"
)

// watchGap: two of three controllers are silent until the state service has made more than the 10,000 changes
// that it keeps for watches, and then go on. Users then ask them about jobs that are done.
func watchGap() {
	d, silent, _, resumed := silentControllers()
	for until := time.Now().Add(12 * time.Second); !(silent[0].isHealthy() && silent[1].isHealthy()); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			fatal("the controllers did not become healthy again")
		}
	}
	// Users ask again about jobs of which they were told that they are done.
	asked := 0
	for range 2 {
		for _, j := range d.allJobs() {
			if _, at := j.finalAt(); !at.After(resumed.Add(-time.Second)) {
				continue
			}
			for _, n := range silent {
				if n.isHealthy() && d.poll(j, n) != "" {
					asked++
				}
			}
		}
		time.Sleep(time.Second)
	}
	d.logRequests(silent)
	d.log("%d answers about jobs that were done", asked)
	d.finish()
}

// watchGapCrash: as watchGap, and then the leader crashes and is started again. Jobs that are accepted after that must run.
func watchGapCrash() {
	d, silent, leader, _ := silentControllers()
	if trouble() {
		leader.kill()
		d.log("%s, which led, was killed", leader.name)
		time.AfterFunc(5*time.Second, leader.startProcess)
	}
	time.Sleep(4 * time.Second)
	if l := d.leader(); l != nil {
		d.log("%s leads now", l.name)
	}
	var accepted []*userJob
	for range 20 {
		if j := d.newJob(clip, time.Second); d.submit(j) {
			accepted = append(accepted, j)
			go d.follow(j, 1500*time.Millisecond)
		}
	}
	lastAccepted := time.Now()
	const wait = 25 * time.Second
	time.Sleep(wait)
	waiting := 0
	for _, j := range accepted {
		if !d.hasStarted(wire.TaskID(j.spec.ID, 0)) {
			waiting++
		}
	}
	d.log("%d of %d jobs have not started %.0f s after the last was accepted", waiting, len(accepted), time.Since(lastAccepted).Seconds())
	d.logRequests(silent)
	if len(accepted) < 10 {
		fatal("only %d jobs were accepted", len(accepted))
	}
	if up := d.cloud.idle(); waiting == len(accepted) {
		d.breach("accepted jobs don't run: none of %d has started, %d machines are up without a task", waiting, up)
	}
	d.finish()
}

// clip is a small job.
var clip = wire.Job{Class: "losse-klanken", Team: "annotatie", Kind: wire.KindArray, Priority: "standard", Tasks: 1, CPUs: 0.25, MemoryGB: 0.9,
	Image: "img-01", ImageGB: 0.1, Spot: true, EstimateS: 1}

// silentControllers starts a deployment with load, stops two of its three controllers until the state service has
// made more changes than it keeps, and lets them go on. Of the reads of all watched keys, which each controller
// makes when it starts and when it catches up, every second one is answered after 400 ms. It returns when the load
// has ended, two seconds after the controllers went on.
func silentControllers() (d *deployment, silent []*node, leader *node, resumed time.Time) {
	d = newDeployment(gentFleet, 3)
	reads := map[string]int{}
	d.state.delay = func(node, kind string) time.Duration {
		if kind != "range c/" {
			return 0
		}
		if reads[node]++; reads[node]%2 == 0 {
			return 400 * time.Millisecond
		}
		return 0
	}
	d.awaitHealthy(15 * time.Second)
	for d.leader() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	stopLoad := make(chan struct{})
	go submitClips(d, 28, stopLoad)
	time.Sleep(2 * time.Second)
	leader = d.leader()
	for _, n := range d.nodes {
		if n != leader {
			silent = append(silent, n)
		}
	}
	d.log("%s and %s are the controllers in question, %s leads", silent[0].name, silent[1].name, leader.name)
	first := d.state.changeCount()
	if trouble() {
		for _, n := range silent {
			n.signal(syscall.SIGSTOP)
			d.log("%s is silent from now on", n.name)
		}
	}
	begin := time.Now()
	for d.state.changeCount()-first <= keptChanges+50 {
		if time.Since(begin) > 85*time.Second {
			fatal("only %d changes in 85 s", d.state.changeCount()-first)
		}
		time.Sleep(100 * time.Millisecond)
	}
	resumed = time.Now()
	if trouble() {
		for _, n := range silent {
			n.signal(syscall.SIGCONT)
			d.log("%s goes on, after %.1f s", n.name, resumed.Sub(begin).Seconds())
		}
	}
	time.Sleep(2 * time.Second)
	close(stopLoad)
	return d, silent, leader, resumed
}

// logRequests writes how often the controllers called the state service.
func (d *deployment) logRequests(nodes []*node) {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	for _, n := range nodes {
		for k, count := range d.state.counts {
			if strings.HasPrefix(k, n.name) {
				d.log("requests of %s: %d", k, count)
			}
		}
		d.log("answers 410 to %s: %d, failed transactions: %d", n.name, d.state.gone[n.name], d.state.conflicts[n.name])
	}
	d.log("answers 429 to all: %d; changes: %d", d.state.limited, d.state.changes)
}

// submitClips submits a number of small jobs a second, each of which is followed by its user, until stop is closed.
func submitClips(d *deployment, perSecond int, stop chan struct{}) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			go func() {
				if j := d.newJob(clip, time.Second); d.submit(j) {
					d.follow(j, 1500*time.Millisecond)
				}
			}()
		}
	}
}
