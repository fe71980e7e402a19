package zones

// State is the assumed condition of a zone.
type State uint8

// The states of a zone.
const (
	Healthy   State = iota // starts are not limited
	Suspected              // most of its machines are silent, but not yet for long enough to count as lost
	Lost                   // most of its machines have been silent for LostAfter
	HeldDown               // its machines respond again, or it has none left; it returns after the hold-down unless it is lost again
	Returning              // the limit on starts grows with starts that succeed
)

var stateNames = [...]string{"healthy", "suspected", "lost", "held down", "returning"}

// String returns the state's name as shown in logs and views.
func (s State) String() string { return stateNames[s] }

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name. An unknown name counts as healthy.
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
	From, To State  // the states before and after the change
}

// Health is the failure detector's view of a zone.
type Health struct {
	Zone       string // the zone's name
	Responsive int    // machines that report in time
	Silent     int    // machines whose reports are overdue
}

// majoritySilent reports whether the zone's machines indicate a fault of the whole zone. A single silent
// machine does not: it may have failed by itself.
func (h Health) majoritySilent() bool { return h.Silent > 1 && h.Silent > h.Responsive }

// majorityResponsive reports whether the zone's machines indicate that the zone works.
func (h Health) majorityResponsive() bool { return h.Responsive > h.Silent }

// empty reports whether the zone has no machine that could indicate anything.
func (h Health) empty() bool { return h.Responsive+h.Silent == 0 }
