package zones

import "time"

// Settings are the operators' settings of zone recovery.
type Settings struct {
	LostAfter    time.Duration // a zone is lost after being suspected for so long
	HoldDown     time.Duration // after the first loss; doubled by each further one
	HoldDownMost time.Duration // the longest hold-down
	FlapWindow   time.Duration // the penalty of a loss halves in this time
	FirstStarts  int           // starts under way at once in a zone that has just returned
	FirstFetches int           // the same, of one image that has to be fetched
}

// DefaultSettings are the settings where operators say nothing.
func DefaultSettings() Settings {
	return Settings{
		LostAfter: 8 * time.Second, HoldDown: 5 * time.Second, HoldDownMost: time.Minute,
		FlapWindow: 10 * time.Minute, FirstStarts: 8, FirstFetches: 4,
	}
}
