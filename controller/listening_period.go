package controller

import "time"

// maxListenGap is the longest time between two observations within one listening period. The tick
// interval is several times shorter.
const maxListenGap = time.Second

// listeningPeriod is the time for which a leader has processed heartbeats without interruption. A
// leader whose process was paused while its clocks continued, or that had no authority to answer,
// finds all machines silent at once. This is no evidence that the machines have failed.
type listeningPeriod struct {
	startedAt    time.Time
	lastObserved time.Time // when observe was last called
}

// observe records that the leader is processing heartbeats now. After a pause longer than maxListenGap
// a new period begins.
func (p *listeningPeriod) observe(now time.Time) {
	if now.Sub(p.lastObserved) > maxListenGap {
		p.startedAt = now
	}
	p.lastObserved = now
}

// elapsed returns how much of the time since then lies in the period.
func (p *listeningPeriod) elapsed(now, then time.Time) time.Duration {
	if then.Before(p.startedAt) {
		then = p.startedAt
	}
	return now.Sub(then)
}
