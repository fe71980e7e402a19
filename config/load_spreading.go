package config

import (
	"fmt"
	"time"

	"pumicefront/balance"
)

// LoadSpreading holds the operator settings of load spreading; docs/operations.md explains each of them.
type LoadSpreading struct {
	balance.Settings
	StatusListen string // listen address of the status endpoint; empty: none
	Trace        string // file to which spans are appended, or "stderr"; empty: none
}

// loadSpreadingBlock is the block as written in the operators' file; settings that it leaves out have their
// defaults.
type loadSpreadingBlock struct {
	High           *float64 `hcl:"high,optional"`
	LeastShare     *float64 `hcl:"least_share,optional"`
	LeastGain      *float64 `hcl:"least_gain,optional"`
	CostShare      *float64 `hcl:"cost_share,optional"`
	Settled        *string  `hcl:"settled,optional"`
	Stay           *string  `hcl:"stay,optional"`
	Hold           *string  `hcl:"hold,optional"`
	MovesPerMinute *float64 `hcl:"moves_per_minute,optional"`
	MovesInFlight  *float64 `hcl:"moves_in_flight,optional"`
	KeepIdle       *bool    `hcl:"keep_idle,optional"`
	StatusListen   *string  `hcl:"status_listen,optional"`
	Trace          *string  `hcl:"trace,optional"`
}

// settings checks the block and fills in the defaults.
func (b *loadSpreadingBlock) settings() (*LoadSpreading, error) {
	l := &LoadSpreading{Settings: balance.DefaultSettings()}
	for _, d := range []struct {
		name string
		text *string
		into *time.Duration
	}{
		{"settled", b.Settled, &l.Settled},
		{"stay", b.Stay, &l.Stay},
		{"hold", b.Hold, &l.Hold},
	} {
		if err := parseDuration("load_spreading."+d.name, d.text, d.into); err != nil {
			return nil, err
		}
	}
	l.High, l.LeastShare = valueOr(b.High, l.High), valueOr(b.LeastShare, l.LeastShare)
	l.LeastGain, l.CostShare = valueOr(b.LeastGain, l.LeastGain), valueOr(b.CostShare, l.CostShare)
	l.MovesPerMinute, l.MovesInFlight = valueOr(b.MovesPerMinute, l.MovesPerMinute), valueOr(b.MovesInFlight, l.MovesInFlight)
	if b.KeepIdle != nil {
		l.KeepIdle = *b.KeepIdle
	}
	if b.StatusListen != nil {
		l.StatusListen = *b.StatusListen
	}
	if b.Trace != nil {
		l.Trace = *b.Trace
	}
	return l, l.check()
}

func (l *LoadSpreading) check() error {
	if err := checkAddress("load_spreading.status_listen", l.StatusListen); err != nil {
		return err
	}
	return checkBounds([]bound{
		{"load_spreading.high", "", l.High, 1.02, 10},
		{"load_spreading.least_share", "", l.LeastShare, 0, 1},
		{"load_spreading.least_gain", "", l.LeastGain, 0.005, 1},
		{"load_spreading.cost_share", "", l.CostShare, 0, 0.5},
		{"load_spreading.settled", seconds, l.Settled.Seconds(), 30, 86400},
		{"load_spreading.stay", seconds, l.Stay.Seconds(), l.Settled.Seconds(), 86400},
		{"load_spreading.hold", seconds, l.Hold.Seconds(), 1, 600},
		{"load_spreading.moves_per_minute", "", l.MovesPerMinute, 0, 6000},
		{"load_spreading.moves_in_flight", "", l.MovesInFlight, 0, 100},
	})
}

// String formats the settings for check-settings.
func (l *LoadSpreading) String() string {
	if l == nil {
		return "off"
	}
	return fmt.Sprintf("%+v", *l)
}
