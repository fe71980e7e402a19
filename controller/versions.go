package controller

import (
	"net/http"
	"time"

	"pumicefront/wire"
)

// Software versions. During a rolling upgrade, controllers of different versions run side by side,
// and any of them may lead. Every process records its version. Once all members have recorded a
// version, no process of an earlier version can run any more.

// versionRecord records that a member has run a version of the service. It is only ever replaced by
// that of a newer version, since a member is never downgraded.
type versionRecord struct {
	Version int `cbor:"v"`
}

// Versions of the records and messages, named after the feature that each introduced.
const (
	firstVersionWithDependencies = 2
	firstVersionWithOutcomes     = 3 // looks up how needed jobs ended before it answers about a job
	thisVersion                  = firstVersionWithOutcomes
	firstVersionWithCells        = 4 // supports grants of jobs to other cells; recorded only if that is enabled
)

// version returns the version that this process records for its member.
func (c *Core) version() int {
	if c.op.Cell != nil {
		return firstVersionWithCells
	}
	return thisVersion
}

// recordVersion records this process's version unless it or a later one is already recorded.
func (c *Core) recordVersion() {
	if !c.watchCache.loaded || c.recordingVersion || c.watchCache.memberVersions[c.cfg.Member] >= c.version() {
		return
	}
	c.recordingVersion = true
	key := versionPrefix + c.cfg.Member
	set := put(key, versionRecord{c.version()})
	txn := wire.Txn{If: []wire.Cond{{Key: key, Version: c.watchCache.versions[key]}}, Then: []wire.Change{set}}
	c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(r StateReply) {
		if r.Status == http.StatusOK {
			c.applyOwnChange(wire.Event{Put: key, Value: set.Value, Version: r.Txn.Revision})
		}
		c.after(time.Second, func() { c.recordingVersion = false })
	})
}

// allMembersRun reports whether every member has recorded the version or a later one, so that no process
// of an earlier version can run any more.
func (c *Core) allMembersRun(version int) bool {
	least := c.watchCache.memberVersions[c.cfg.Member]
	for _, o := range c.cfg.Others {
		least = min(least, c.watchCache.memberVersions[o.Member])
	}
	return least >= version
}
