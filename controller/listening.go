package controller

import "time"

// listenGap is how long a leader that listens may go without a look at its machines:
// there is a tick several times as often.
const listenGap = time.Second

// listeningPeriod is the time for which a leader has heard its machines without a pause. A
// process that stood still while its clocks ran on, or had no authority to answer,
// finds all of them silent at once; that says nothing of them.
type listeningPeriod struct {
	began    time.Time
	lastLook time.Time
}

// observe notes a look at the machines; after a pause a new period begins.
func (p *listeningPeriod) observe(now time.Time) {
	if now.Sub(p.lastLook) > listenGap {
		p.began = now
	}
	p.lastLook = now
}

// elapsed is how much of the time since then lies in the period.
func (p *listeningPeriod) elapsed(now, then time.Time) time.Duration {
	if then.Before(p.began) {
		then = p.began
	}
	return now.Sub(then)
}
