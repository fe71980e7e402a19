package controller

import (
	"net/http"
	"time"

	"pumicefront/wire"
)

// Versions. Old ones may lead beside new ones while a deployment is upgraded. Every process notes
// its version; when all members have noted one, no process of an earlier version can come back.

// versionRecord tells that a member runs a version of the service: it stays when that
// has been replaced by a newer one, and an older one never comes back.
type versionRecord struct {
	Version int `cbor:"v"`
}

// Versions of the records and messages, by what they brought.
const (
	firstVersionWithChains = 2
	firstVersionWithEnds   = 3 // finds out how needed jobs ended before it tells of a job
	thisVersion            = firstVersionWithEnds
	firstVersionWithCells  = 4 // knows that a job may be granted to another cell; noted where that is switched on
)

// version is what this process notes of itself.
func (c *Core) version() int {
	if c.op.Cell != nil {
		return firstVersionWithCells
	}
	return thisVersion
}

// announce notes this process's version where it isn't noted yet.
func (c *Core) announce() {
	if !c.control.loaded || c.announcing || c.control.members[c.cfg.Member] >= c.version() {
		return
	}
	c.announcing = true
	key := versionPrefix + c.cfg.Member
	set := put(key, versionRecord{c.version()})
	txn := wire.Txn{If: []wire.Cond{{Key: key, Version: c.control.versions[key]}}, Then: []wire.Change{set}}
	c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(r StateReply) {
		if r.Status == http.StatusOK {
			c.written(wire.Event{Put: key, Value: set.Value, Version: r.Txn.Revision})
		}
		c.after(time.Second, func() { c.announcing = false })
	})
}

// allRun reports whether every member runs the version or a later one, so that no process of
// an earlier version can come back.
func (c *Core) allRun(version int) bool {
	least := c.control.members[c.cfg.Member]
	for _, o := range c.cfg.Others {
		least = min(least, c.control.members[o.Member])
	}
	return least >= version
}
