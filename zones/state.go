package zones

// State is what is believed of a zone.
type State uint8

// The states of a zone.
const (
	Healthy   State = iota // nothing is limited
	Suspected              // most of its machines are silent, too shortly to tell
	Lost                   // most of its machines are silent
	HeldDown               // it is back, and has to stay so for a while
	Returning              // starts are limited by what has succeeded
)

var stateNames = [...]string{"healthy", "suspected", "lost", "held down", "returning"}

// String names the state as logs and views show it.
func (s State) String() string { return stateNames[s] }

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name. An unknown one counts as healthy.
func (s *State) UnmarshalText(text []byte) error {
	*s = Healthy
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
		}
	}
	return nil
}

// Transition is a change of a zone's state.
type Transition struct {
	Zone     string // the zone's name
	From, To State  // its state before and after
}

// Health is what the failure detector sees of a zone.
type Health struct {
	Zone       string // the zone's name
	Responsive int    // machines that report in time
	Silent     int    // machines whose reports are overdue
}

// mostSilent reports whether the zone's machines speak for a fault of the zone: one silent machine
// may have failed by itself.
func (h Health) mostSilent() bool { return h.Silent > 1 && h.Silent > h.Responsive }

// mostResponsive reports whether the zone's machines speak for its being well.
func (h Health) mostResponsive() bool { return h.Responsive > h.Silent }

// empty reports whether no machine speaks for or against the zone.
func (h Health) empty() bool { return h.Responsive+h.Silent == 0 }
