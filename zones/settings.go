package zones

import "time"

// Settings are the operators' settings of zone recovery.
type Settings struct {
	LostAfter    time.Duration // time for which a zone is suspected before it counts as lost
	HoldDown     time.Duration // hold-down after the first loss; each further loss doubles it
	HoldDownMost time.Duration // the longest hold-down
	FlapWindow   time.Duration // half-life of the penalty for a loss
	FirstStarts  int           // limit on the starts in progress at once in a zone that has just returned
	FirstFetches int           // limit on those that must fetch the same image
}

// DefaultSettings returns the settings that apply where operators set nothing.
func DefaultSettings() Settings {
	return Settings{
		LostAfter: 8 * time.Second, HoldDown: 5 * time.Second, HoldDownMost: time.Minute,
		FlapWindow: 10 * time.Minute, FirstStarts: 8, FirstFetches: 4,
	}
}
