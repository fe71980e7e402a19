package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Cell holds the operator settings of a cell that takes part in spillover; docs/operations.md explains each
// of them.
type Cell struct {
	Name        string        // this cell's name, as configured in its peers
	Listen      string        // address at which this controller listens for other cells
	SpillAfter  time.Duration // how long a batch job waits for capacity before it may be offered to another cell
	ReturnAfter time.Duration // how long a job of another cell may wait here without running before it is returned
	LendCores   float64       // cores lent to batch jobs of other cells
	Peers       []CellPeer    // the other cells
}

// CellPeer is another cell that jobs may spill over to or come from.
type CellPeer struct {
	Name      string   `hcl:"name,label"` // name of the cell
	Addresses []string `hcl:"addresses"`  // host:port of the cell listener of each of its controllers
}

// cellBlock is the block as written in the operators' file.
type cellBlock struct {
	Name        string     `hcl:"name"`
	Listen      string     `hcl:"listen"`
	SpillAfter  *string    `hcl:"spill_after,optional"`
	ReturnAfter *string    `hcl:"return_after,optional"`
	LendCores   *float64   `hcl:"lend_cores,optional"`
	Peers       []CellPeer `hcl:"peer,block"`
}

// Defaults of optional settings.
const (
	defaultSpillAfter  = 20 * time.Second
	defaultReturnAfter = 30 * time.Second
)

// settings checks the block and fills in the defaults.
func (b *cellBlock) settings() (*Cell, error) {
	c := &Cell{Name: b.Name, Listen: b.Listen, Peers: b.Peers, SpillAfter: defaultSpillAfter, ReturnAfter: defaultReturnAfter}
	if b.LendCores != nil {
		c.LendCores = *b.LendCores
	}
	if err := parseDuration("cell.spill_after", b.SpillAfter, &c.SpillAfter); err != nil {
		return nil, err
	}
	if err := parseDuration("cell.return_after", b.ReturnAfter, &c.ReturnAfter); err != nil {
		return nil, err
	}
	return c, c.check()
}

// parseDuration parses an optional duration. If text is nil, the setting is absent, and into keeps its default.
func parseDuration(field string, text *string, into *time.Duration) error {
	if text == nil {
		return nil
	}
	parsed, err := time.ParseDuration(*text)
	if err != nil {
		return malformed(field, err)
	}
	*into = parsed
	return nil
}

func (c *Cell) check() error {
	if c.Name == "" {
		return missing("cell.name", "is empty")
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return malformed("cell.listen", err)
	}
	if len(c.Peers) == 0 {
		return missing("cell.peer", "is missing: spillover needs at least one other cell")
	}
	seen := map[string]bool{c.Name: true}
	for _, p := range c.Peers {
		if seen[p.Name] {
			return conflicting("cell.peer", fmt.Sprintf("%q is configured twice, or is the name of this cell", p.Name))
		}
		seen[p.Name] = true
		if len(p.Addresses) == 0 {
			return missing("cell.peer."+p.Name+".addresses", "is empty")
		}
		for _, a := range p.Addresses {
			if _, err := netip.ParseAddrPort(a); err != nil {
				return malformed("cell.peer."+p.Name+".addresses", err)
			}
		}
	}
	return checkBounds([]bound{
		{"cell.spill_after", seconds, c.SpillAfter.Seconds(), 0.1, 3600},
		{"cell.return_after", seconds, c.ReturnAfter.Seconds(), 1, 3600},
		{"cell.lend_cores", "", c.LendCores, 0, 1e9},
	})
}

// String formats the settings for check-settings.
func (c *Cell) String() string {
	if c == nil {
		return "off"
	}
	return fmt.Sprintf("%+v", *c)
}
