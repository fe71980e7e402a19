package sim

import (
	"fmt"
	"time"

	"pumicefront/balance"
	"pumicefront/internal/spreadseries"
	"pumicefront/wire"
)

// What a measured run of load spreading has found.

// evenFrom is how long after a time the fleet is even and stays so until another; negative: it is not.
func (r *spreadRun) evenFrom(from, until time.Duration) time.Duration {
	since := time.Duration(-1)
	for _, s := range r.samples {
		switch {
		case s.at < from || s.at > until:
		case !s.even():
			since = -1
		case since < 0:
			since = s.at - from
		}
	}
	return since
}

// at is the last sample before a time.
func (r *spreadRun) at(when time.Duration) spreadSampled {
	last := spreadSampled{}
	for _, s := range r.samples {
		if s.at <= when {
			last = s
		}
	}
	return last
}

// String is the line of a measurement.
func (r *spreadRun) String() string {
	line := ""
	for _, at := range []time.Duration{spreadSwitchAt, spreadDrainAt - time.Second, spreadBackAt + 5*time.Second, spreadBackAt + 180*time.Second, spreadEnd - time.Second} {
		s := r.at(at)
		line += fmt.Sprintf("%3.0f s: variation %.2f maximum %.2f team %.2f; ", at.Seconds(), s.variation, s.maximum, s.teamOnOneMachine)
	}
	even := func(from, until time.Duration) string {
		if d := r.evenFrom(from, until); d >= 0 {
			return fmt.Sprintf("%.0f s", d.Seconds())
		}
		return "never"
	}
	return line + fmt.Sprintf("even after the skew: %s, after the drain: %s; %d machines rented, %d replicas, %.0f replica-s missing (%.2f%%), %d fetches, %s, moved twice in ten minutes: %d, processor %.1f s",
		even(spreadSwitchAt, spreadDrainAt-time.Second), even(spreadBackAt, spreadEnd), len(r.w.hosts), r.replicas, r.missing.Seconds(),
		100*r.missing.Seconds()/(float64(r.replicas)*(spreadEnd-spreadSwitchAt).Seconds()), r.fetches, r.outcomes(), r.movedTwiceWithin(10*time.Minute), r.w.processor.Seconds())
}

// outcomes tells how moves have ended.
func (r *spreadRun) outcomes() string {
	services, arrays := 0, 0
	ended := map[balance.Outcome]int{}
	for _, m := range r.w.moves {
		if m.Outcome == "" {
			continue
		}
		ended[m.Outcome]++
		if j := r.w.users.jobs[m.Job]; j.spec.Kind == wire.KindService {
			services++
		} else {
			arrays++
		}
	}
	return fmt.Sprintf("moves of %d replicas and %d tasks %v", services, arrays, ended)
}

// series lists the shares of all machines over time.
func (r *spreadRun) series(name string) []spreadseries.Row {
	var rows []spreadseries.Row
	for _, s := range r.samples {
		for i, share := range s.shares {
			rows = append(rows, spreadseries.Row{Run: name, Spread: r.on, AtS: s.at.Seconds(), Machine: s.machines[i], Share: share})
		}
	}
	return rows
}
