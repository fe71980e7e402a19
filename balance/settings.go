package balance

import "time"

// Settings are the operators' limits on load spreading.
type Settings struct {
	High       float64 // a machine is hot if its share exceeds this multiple, above 1, of the mean share
	LeastShare float64 // and exceeds this share, 0 to 1
	LeastGain  float64 // least amount by which a move must lower the larger of its two machines' shares, 0 to 1
	CostShare  float64 // largest part of a task's remaining time that its move may cost, 0 to 1

	Settled time.Duration // time that a task must have run before it may be moved
	Stay    time.Duration // time from the start of a move during which the task is not moved again
	Hold    time.Duration // longest time for which room is reserved at a destination

	MovesPerMinute float64 // moves started per minute and hundred machines
	MovesInFlight  float64 // active moves per hundred machines
	KeepIdle       bool    // idle machines are not returned to the cloud, and take part in load spreading
}

// DefaultSettings returns the settings that apply where operators set nothing.
func DefaultSettings() Settings {
	return Settings{
		High: 1.15, LeastShare: 0.4, LeastGain: 0.05, CostShare: 0.05,
		Settled: time.Minute, Stay: 10 * time.Minute, Hold: 30 * time.Second,
		MovesPerMinute: 100, MovesInFlight: 20,
	}
}

// maxMovesInFlight returns how many moves may be active at once in a fleet of the given number of machines.
func (s Settings) maxMovesInFlight(machines int) int {
	return max(1, int(s.MovesInFlight*float64(machines)/100))
}

// maxMovesPerTeam returns how many moves of one team may be active at once.
func (s Settings) maxMovesPerTeam(machines int) int { return max(1, s.maxMovesInFlight(machines)/2) }

// movesPerSecond returns how many moves may be started per second on average.
func (s Settings) movesPerSecond(machines int) float64 {
	return s.MovesPerMinute * float64(machines) / 100 / time.Minute.Seconds()
}
