package scheduler

import (
	"cmp"
	"maps"
	"math"
)

// Balance spreads the tasks of a placement round evenly over machines. Machines with the image come
// first as long as the task does not make them hot; among equals the least loaded machine comes first.
type Balance struct {
	HotShare float64 // dominant share above which a machine is hot
	UseEmpty bool    // machines without tasks rank like all others; if false, they are used only after all others
}

// balanceRank is the sort key of a machine for a balanced demand; lower values are preferred.
type balanceRank struct {
	empty, hot int
	share      float64 // dominant share of the machine with one more task
}

// balanceRank returns the rank of a machine with one more task of the demand; all ranks are equal if load
// is not balanced.
func (d *Demand) balanceRank(m *Machine) balanceRank {
	if d.Balance == nil {
		return balanceRank{}
	}
	share := dominantShare(m, m.Free.Add(d.TaskResources, -1))
	return balanceRank{
		empty: boolToInt(!d.Balance.UseEmpty && m.Free == m.Cap),
		hot:   boolToInt(share > d.Balance.HotShare+epsilon),
		share: share,
	}
}

// dominantShare returns the largest used fraction over a machine's resources, given its free resources.
func dominantShare(m *Machine, free Resources) float64 {
	share := 0.0
	for _, r := range [...]struct{ free, all float64 }{{free.CPUs, m.Cap.CPUs}, {free.GPUs, m.Cap.GPUs}, {free.MemoryGB, m.Cap.MemoryGB}} {
		if r.all > 0 {
			share = math.Max(share, 1-r.free/r.all)
		}
	}
	return share
}

// compare orders machines by the criteria that take precedence over image locality.
func (r balanceRank) compare(o balanceRank) int {
	return cmp.Or(cmp.Compare(r.empty, o.empty), cmp.Compare(r.hot, o.hot))
}

// roomBelowHot returns how many tasks of the demand fit on a machine before it becomes hot, or how many fit
// at all if load is not balanced.
func (d *Demand) roomBelowHot(m *Machine) int {
	room := d.roomOn(m)
	if d.Balance == nil {
		return room
	}
	after := m.Free
	for n := range room {
		after = after.Add(d.TaskResources, -1)
		if dominantShare(m, after) > d.Balance.HotShare+epsilon {
			return n
		}
	}
	return room
}

// hasImage reports whether a machine has the demand's image or is already fetching it.
func (d *Demand) hasImage(m *Machine) bool { return m.Images[d.Image] || m.Fetching[d.Image] }

// markFetching records that a machine is fetching the demand's image. Later placements of the round count the
// image as present there; otherwise each further task could make one more machine fetch it.
func (d *Demand) markFetching(m *Machine) {
	if d.Balance == nil || d.hasImage(m) {
		return
	}
	fetching := map[string]bool{d.Image: true} // a copy: the original map belongs to the leader
	maps.Copy(fetching, m.Fetching)
	m.Fetching = fetching
}

// Fits reports whether a machine has room for one more task of the demand and meets its constraints on machines and
// zones, the limit on starts included. It does not check the limit on fetches, RoomInTeam and Gang.
func (d *Demand) Fits(m *Machine) bool {
	return d.accepts(m) && d.zoneRoom(m.Zone) > 0 && d.roomOn(m) > 0
}

// PlaceOn assigns one of the demand's tasks to a machine and subtracts its resources there. It reports false
// and changes nothing but StartLimit.Throttled if the task does not fit or may not start there now.
func PlaceOn(m *Machine, d *Demand, task int) (Assignment, bool) {
	if !d.Fits(m) || !d.mayStart(m) {
		return Assignment{}, false
	}
	m.Free = m.Free.Add(d.TaskResources, -1)
	d.countStarts(m, 1)
	return Assignment{task, m}, true
}
