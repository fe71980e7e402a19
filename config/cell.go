package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Cell are the operators' settings of a cell that takes part in spilling over; docs/operations.md
// explains each.
type Cell struct {
	Name        string        // this cell's name, as its peers know it
	Listen      string        // where the other cells reach this controller
	SpillAfter  time.Duration // how long a batch waits for room before it may go to another cell
	ReturnAfter time.Duration // how long one of another cell may wait for room here
	LendCores   float64       // for batches of other cells
	Peers       []CellPeer    // the other cells
}

// CellPeer is another cell.
type CellPeer struct {
	Name      string   `hcl:"name,label"` // the cell's name
	Addresses []string `hcl:"addresses"`  // host:port of each of its controllers' listeners for cells
}

// cellBlock is the block as it stands in the operators' file.
type cellBlock struct {
	Name        string     `hcl:"name"`
	Listen      string     `hcl:"listen"`
	SpillAfter  *string    `hcl:"spill_after,optional"`
	ReturnAfter *string    `hcl:"return_after,optional"`
	LendCores   *float64   `hcl:"lend_cores,optional"`
	Peers       []CellPeer `hcl:"peer,block"`
}

// Defaults of the settings that may be left out.
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

// parseDuration reads a duration that is not left out.
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
		return missing("cell.peer", "is missing: a cell alone has nowhere to spill")
	}
	seen := map[string]bool{c.Name: true}
	for _, p := range c.Peers {
		if seen[p.Name] {
			return conflicting("cell.peer", fmt.Sprintf("%q is named twice, or is this cell", p.Name))
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
	return checkFields([]bound{
		{"cell.spill_after", seconds, c.SpillAfter.Seconds(), 0.1, 3600},
		{"cell.return_after", seconds, c.ReturnAfter.Seconds(), 1, 3600},
		{"cell.lend_cores", "", c.LendCores, 0, 1e9},
	})
}

// String lists the settings as check-settings prints them.
func (c *Cell) String() string {
	if c == nil {
		return "off"
	}
	return fmt.Sprintf("%+v", *c)
}
