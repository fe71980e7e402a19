package config

import (
	"fmt"
	"net/netip"
	"time"

	"pumicefront/zones"
)

// ZoneRecovery holds the operator settings of zone recovery; docs/operations.md explains each of them.
type ZoneRecovery struct {
	zones.Settings
	StatusListen string // listen address of the status endpoint; empty: none
	Trace        string // file to which spans are appended, or "stderr"; empty: none
}

// zoneRecoveryBlock is the block as written in the operators' file; settings that it leaves out have their
// defaults.
type zoneRecoveryBlock struct {
	LostAfter    *string `hcl:"lost_after,optional"`
	HoldDown     *string `hcl:"hold_down,optional"`
	HoldDownMost *string `hcl:"hold_down_most,optional"`
	FlapWindow   *string `hcl:"flap_window,optional"`
	FirstStarts  *int    `hcl:"first_starts,optional"`
	FirstFetches *int    `hcl:"first_fetches,optional"`
	StatusListen *string `hcl:"status_listen,optional"`
	Trace        *string `hcl:"trace,optional"`
}

// settings checks the block and fills in the defaults.
func (b *zoneRecoveryBlock) settings() (*ZoneRecovery, error) {
	z := &ZoneRecovery{Settings: zones.DefaultSettings()}
	for _, d := range []struct {
		name string
		text *string
		into *time.Duration
	}{
		{"lost_after", b.LostAfter, &z.LostAfter},
		{"hold_down", b.HoldDown, &z.HoldDown},
		{"hold_down_most", b.HoldDownMost, &z.HoldDownMost},
		{"flap_window", b.FlapWindow, &z.FlapWindow},
	} {
		if err := parseDuration("zone_recovery."+d.name, d.text, d.into); err != nil {
			return nil, err
		}
	}
	z.FirstStarts, z.FirstFetches = valueOr(b.FirstStarts, z.FirstStarts), valueOr(b.FirstFetches, z.FirstFetches)
	if b.StatusListen != nil {
		z.StatusListen = *b.StatusListen
	}
	if b.Trace != nil {
		z.Trace = *b.Trace
	}
	return z, z.check()
}

// checkAddress checks an optional listen address.
func checkAddress(name, address string) error {
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return malformed(name, err)
	}
	return nil
}

func (z *ZoneRecovery) check() error {
	if err := checkAddress("zone_recovery.status_listen", z.StatusListen); err != nil {
		return err
	}
	return checkBounds([]bound{
		{"zone_recovery.lost_after", seconds, z.LostAfter.Seconds(), 0.1, 600},
		{"zone_recovery.hold_down", seconds, z.HoldDown.Seconds(), 0, 600},
		{"zone_recovery.hold_down_most", seconds, z.HoldDownMost.Seconds(), z.HoldDown.Seconds(), 3600},
		{"zone_recovery.flap_window", seconds, z.FlapWindow.Seconds(), 1, 86400},
		{"zone_recovery.first_starts", "", float64(z.FirstStarts), 1, 1e6},
		{"zone_recovery.first_fetches", "", float64(z.FirstFetches), 1, 1e6},
	})
}

// String formats the settings for check-settings.
func (z *ZoneRecovery) String() string {
	if z == nil {
		return "off"
	}
	return fmt.Sprintf("%+v", *z)
}
