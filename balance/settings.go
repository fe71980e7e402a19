package balance

import "time"

// Settings are the operators' bounds on load spreading.
type Settings struct {
	High       float64 // a machine is hot above so many times the mean share; over 1
	LeastShare float64 // and above this share, 0 to 1
	LeastGain  float64 // by which a move lowers the larger of its two machines' shares at least, 0 to 1
	CostShare  float64 // of what is left of a task that its move may cost at most, 0 to 1

	Settled time.Duration // a task has run for so long before it may be moved
	Stay    time.Duration // a task that has moved is not moved again
	Hold    time.Duration // for how long room is held at a destination

	MovesPerMinute float64 // for each hundred machines
	MovesInFlight  float64 // for each hundred machines
	KeepIdle       bool    // idle machines are kept, and used
}

// DefaultSettings are those where operators say nothing.
func DefaultSettings() Settings {
	return Settings{
		High: 1.15, LeastShare: 0.4, LeastGain: 0.05, CostShare: 0.05,
		Settled: time.Minute, Stay: 10 * time.Minute, Hold: 30 * time.Second,
		MovesPerMinute: 100, MovesInFlight: 20,
	}
}

// inFlight is how many moves may be under way at once in a fleet of so many machines.
func (s Settings) inFlight(machines int) int {
	return max(1, int(s.MovesInFlight*float64(machines)/100))
}

// inTeam is how many of them may be of one team.
func (s Settings) inTeam(machines int) int { return max(1, s.inFlight(machines)/2) }

// perSecond is how many moves may be begun in a second, in the mean.
func (s Settings) perSecond(machines int) float64 {
	return s.MovesPerMinute * float64(machines) / 100 / time.Minute.Seconds()
}
