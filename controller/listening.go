package controller

import "time"

// listenGap is the longest time between two observations within one listening period. The tick
// interval is several times shorter.
const listenGap = time.Second

// listeningPeriod is the time for which a leader has processed heartbeats without interruption. A
// leader whose process was paused while its clocks continued, or that had no authority to answer,
// finds all machines silent at once. This is no evidence that the machines have failed.
type listeningPeriod struct {
	began    time.Time
	lastLook time.Time // the last observation
}

// observe records that the leader is processing heartbeats now. After a pause longer than listenGap
// a new period begins.
func (p *listeningPeriod) observe(now time.Time) {
	if now.Sub(p.lastLook) > listenGap {
		p.began = now
	}
	p.lastLook = now
}

// elapsed returns how much of the time since then lies in the period.
func (p *listeningPeriod) elapsed(now, then time.Time) time.Duration {
	if then.Before(p.began) {
		then = p.began
	}
	return now.Sub(then)
}
