package sim

import (
	"fmt"
	"time"

	"pumicefront/balance"
	"pumicefront/internal/spreadseries"
	"pumicefront/wire"
)

// Results of a measured run of load spreading.

// timeToEven returns how long after from the load becomes even and stays so until the given time. The
// result is negative if the load is not even at the end.
func (r *spreadRun) timeToEven(from, until time.Duration) time.Duration {
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

// sampleAt returns the last sample that was taken by the given time.
func (r *spreadRun) sampleAt(when time.Duration) loadSample {
	last := loadSample{}
	for _, s := range r.samples {
		if s.at <= when {
			last = s
		}
	}
	return last
}

// String formats the result in one line.
func (r *spreadRun) String() string {
	line := ""
	for _, at := range []time.Duration{spreadRestartAt, spreadDrainAt - time.Second, spreadDrainEnd + 5*time.Second, spreadDrainEnd + 180*time.Second, spreadEnd - time.Second} {
		s := r.sampleAt(at)
		line += fmt.Sprintf("%3.0f s: variation %.2f maximum %.2f team %.2f; ", at.Seconds(), s.variation, s.maximum, s.hotTeamMaximum)
	}
	even := func(from, until time.Duration) string {
		if d := r.timeToEven(from, until); d >= 0 {
			return fmt.Sprintf("%.0f s", d.Seconds())
		}
		return "never"
	}
	return line + fmt.Sprintf("even after the skew: %s, after the drain: %s; %d machines rented, %d replicas, %.0f replica-s missing (%.2f%%), %d fetches, %s, moved twice in ten minutes: %d, processor %.1f s",
		even(spreadRestartAt, spreadDrainAt-time.Second), even(spreadDrainEnd, spreadEnd), len(r.w.hosts), r.replicas, r.lostReplicaTime.Seconds(),
		100*r.lostReplicaTime.Seconds()/(float64(r.replicas)*(spreadEnd-spreadRestartAt).Seconds()), r.fetches, r.formatOutcomes(), r.movedTwiceWithin(10*time.Minute), r.w.coreTime.Seconds())
}

// formatOutcomes formats how many moves of service replicas and of array tasks ended, and the number of
// each outcome.
func (r *spreadRun) formatOutcomes() string {
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

// shareSeries returns the shares of all machines in all samples, as rows of the named run.
func (r *spreadRun) shareSeries(name string) []spreadseries.Row {
	var rows []spreadseries.Row
	for _, s := range r.samples {
		for i, share := range s.shares {
			rows = append(rows, spreadseries.Row{Run: name, Spread: r.enabled, AtS: s.at.Seconds(), Machine: s.machines[i], Share: share})
		}
	}
	return rows
}
