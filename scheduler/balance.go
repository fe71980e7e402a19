package scheduler

import (
	"cmp"
	"maps"
	"math"
)

// Balance has the tasks of a round placed evenly: where the image is as long as that machine does not
// become hot, and the emptiest machine first.
type Balance struct {
	HotShare float64 // the dominant share above which a machine is hot
	UseEmpty bool    // machines without tasks are used like others; otherwise only after all others
}

// evenness orders a machine for a balanced demand, the least first.
type evenness struct {
	empty, hot int
	share      float64 // its dominant share with one more task
}

// evenness returns how a machine would do.
func (d *Demand) evenness(m *Machine) evenness {
	if d.Balance == nil {
		return evenness{}
	}
	share := dominantShare(m, m.Free.Add(d.Each, -1))
	return evenness{
		empty: flag(!d.Balance.UseEmpty && m.Free == m.Cap),
		hot:   flag(share > d.Balance.HotShare+epsilon),
		share: share,
	}
}

// dominantShare is the largest share that is used of a resource of a machine, with so much free.
func dominantShare(m *Machine, free Resources) float64 {
	share := 0.0
	for _, r := range [...]struct{ free, all float64 }{{free.CPUs, m.Cap.CPUs}, {free.GPUs, m.Cap.GPUs}, {free.MemoryGB, m.Cap.MemoryGB}} {
		if r.all > 0 {
			share = math.Max(share, 1-r.free/r.all)
		}
	}
	return share
}

// compare orders machines before their images count.
func (e evenness) compare(o evenness) int {
	return cmp.Or(cmp.Compare(e.empty, o.empty), cmp.Compare(e.hot, o.hot))
}

// coolRoom is how many tasks fit on a machine before it is hot.
func (d *Demand) coolRoom(m *Machine) int {
	room := m.Free.Fits(d.Each)
	if d.Balance == nil {
		return room
	}
	after := m.Free
	for n := range room {
		after = after.Add(d.Each, -1)
		if dominantShare(m, after) > d.Balance.HotShare+epsilon {
			return n
		}
	}
	return room
}

// hasImage reports whether a machine has the demand's image or fetches it already.
func (d *Demand) hasImage(m *Machine) bool { return m.Images[d.Image] || m.Fetching[d.Image] }

// noteFetch notes that a machine fetches the demand's image from now on: for what comes after it counts
// as there, or the image would go to one more machine with each task.
func (d *Demand) noteFetch(m *Machine) {
	if d.Balance == nil || d.hasImage(m) {
		return
	}
	fetching := map[string]bool{d.Image: true} // a new one: the old one is the leader's
	maps.Copy(fetching, m.Fetching)
	m.Fetching = fetching
}

// Fits reports whether a machine has room for one more task, and all that the demand asks of it.
func (d *Demand) Fits(m *Machine) bool {
	return d.takes(m) && d.zoneRoom(m.Zone) > 0 && m.Free.Fits(d.Each) > 0
}

// PlaceOn places one of the demand's tasks on a machine and takes its room, if it may start there now.
func PlaceOn(m *Machine, d *Demand, task int) (Assignment, bool) {
	if !d.Fits(m) || !d.mayStart(m) {
		return Assignment{}, false
	}
	m.Free = m.Free.Add(d.Each, -1)
	d.countStarts(m, 1)
	return Assignment{task, m}, true
}
