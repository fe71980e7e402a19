package scheduler

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Machine is the state of a machine during one placement round.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Shard          string // the controller whose shard the machine is in, see ShardOf
	Cap, Free      Resources
	Releasing      Resources // resources that become free once stopping tasks have ended
	Permanent      Resources // resources of service replicas, which do not end by themselves
	Images         map[string]bool
	Fetching       map[string]bool // images being fetched; filled in only if load is balanced
	Penalty        int             // above 0 if the machine is suspected faulty: used last
	Virtual        bool            // booting, or assumed while rentals are planned: nothing can start on it yet
	Tasks          []Victim        // tasks on it that could be preempted
}

// Assignment puts a task on a machine.
type Assignment struct {
	Task    int
	Machine *Machine
}

// ShardOf assigns a machine to the shard of one of the live controllers by rendezvous
// hashing: the controller with the highest hash wins, so a controller that stops moves
// only its own machines to other shards.
func ShardOf(machine string, controllers []string) string {
	best, highest := "", uint64(0)
	for _, controller := range controllers {
		sum := sha256.Sum256([]byte(controller + "/" + machine)) // simpler hashes favour one name
		if w := binary.BigEndian.Uint64(sum[:]); best == "" || w > highest {
			best, highest = controller, w
		}
	}
	return best
}

// Place assigns the tasks of one job to machines and subtracts their resources there. The
// job goes whole to the shard with the most room, preferring room on machines with its
// image; a job that fits into no single shard is placed over all machines.
func Place(machines []*Machine, d *Demand) []Assignment {
	want := min(len(d.Tasks), d.RoomInTeam)
	if want <= 0 || d.Gang && want < len(d.Tasks) {
		return nil
	}
	var eligible []*Machine
	for _, m := range machines {
		if d.accepts(m) && d.roomOn(m) > 0 {
			eligible = append(eligible, m)
		}
	}
	if len(eligible) == 0 || d.Gang && d.capacity(eligible, want).all < want {
		return nil
	}
	if shard := bestShard(eligible, d, want); shard != nil {
		eligible = shard
	}
	if d.OneZone {
		eligible = bestZone(eligible, d, want)
	}
	out := assignTasks(eligible, d, want)
	if d.Gang && len(out) < want {
		for _, p := range out {
			p.Machine.Free = p.Machine.Free.Add(d.TaskResources, 1)
			d.countStarts(p.Machine, -1)
		}
		return nil
	}
	return out
}

// candidate is a machine that a demand may use, with its sort keys; lower values are preferred.
// unwanted is 1 for the kind of machine, spot or not, that the demand should leave to others.
type candidate struct {
	*Machine
	uncached, unwanted, costToOthers int
	balance                          balanceRank
}

func (d *Demand) candidate(m *Machine) candidate {
	return candidate{m, boolToInt(!d.hasImage(m)), boolToInt(d.Spot && m.Spot == d.PreferNonSpot), d.costToOthers(m), d.balanceRank(m)}
}

// compare orders machines for one task. All else being equal, the machine comes first
// where the task costs other classes the least room. Among those the most loaded machine comes
// first, so that empty ones can be returned, or the least loaded one for a demand that spreads
// images. If load is balanced, machines that the task would make hot come after all others, and
// the last criterion is the smallest share.
func (d *Demand) compare(a, b candidate) int {
	c := cmp.Compare(a.Penalty, b.Penalty)
	if d.PreferNonSpot {
		c = cmp.Or(c, cmp.Compare(a.unwanted, b.unwanted))
	}
	if d.WaitForBooting {
		c = cmp.Or(c, cmp.Compare(a.costToOthers, b.costToOthers))
	}
	c = cmp.Or(c, a.balance.compare(b.balance), cmp.Compare(a.uncached, b.uncached), cmp.Compare(a.unwanted, b.unwanted),
		cmp.Compare(a.costToOthers, b.costToOthers))
	byLoad := cmp.Compare(d.Measure.Of(a.Free), d.Measure.Of(b.Free))
	if d.SpreadImages {
		byLoad = -byLoad
	}
	if d.Balance != nil {
		byLoad = cmp.Compare(a.balance.share, b.balance.share)
	}
	return cmp.Or(c, byLoad, cmp.Compare(a.ID, b.ID))
}

// costToOthers counts the tasks of other classes that no longer fit on a machine once
// it has one more task of this demand: two small services on one machine leave room
// for one more large task than the same two on two machines. For a demand that waits for
// booting machines, and for one that spreads images where the image is missing, it is 1
// on machines that other classes can use and 0 on the rest: such an image should come to
// many machines of a type that other classes can't use.
func (d *Demand) costToOthers(m *Machine) int {
	n := 0
	if d.WaitForBooting || d.SpreadImages && !m.Images[d.Image] {
		return boolToInt(d.suitsOthers(m.Cap))
	}
	after := m.Free.Add(d.TaskResources, -1)
	for _, o := range d.OtherClasses {
		n += m.Free.Fits(o) - after.Fits(o)
	}
	return n
}

// suitsOthers reports whether an empty machine of that size has room for a task of any other class.
func (d *Demand) suitsOthers(size Resources) bool {
	return slices.ContainsFunc(d.OtherClasses, func(o Resources) bool { return size.Fits(o) > 0 })
}

// candidateHeap is a heap of candidates with the preferred one on top.
type candidateHeap struct {
	demand *Demand
	items  []candidate
}

func (h *candidateHeap) Len() int { return len(h.items) }

func (h *candidateHeap) Less(i, j int) bool { return h.demand.compare(h.items[i], h.items[j]) < 0 }

func (h *candidateHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

func (h *candidateHeap) Push(x any) { h.items = append(h.items, x.(candidate)) }

func (h *candidateHeap) Pop() any {
	last := len(h.items) - 1
	c := h.items[last]
	h.items = h.items[:last]
	return c
}

// assignTasks assigns tasks one by one, each to the machine preferred at that point. An
// assignment changes only the position of its own machine in the heap.
func assignTasks(eligible []*Machine, d *Demand, want int) []Assignment {
	candidates := &candidateHeap{demand: d, items: make([]candidate, 0, len(eligible))}
	for _, m := range eligible {
		candidates.items = append(candidates.items, d.candidate(m))
	}
	heap.Init(candidates)
	var out []Assignment
	for len(out) < want && len(candidates.items) > 0 {
		m := candidates.items[0].Machine
		if d.spreadRoom(m.Zone) <= 0 || d.roomOn(m) == 0 || !d.mayStart(m) {
			heap.Pop(candidates)
			continue
		}
		m.Free = m.Free.Add(d.TaskResources, -1)
		d.countStarts(m, 1)
		d.markFetching(m)
		out = append(out, Assignment{d.Tasks[len(out)], m})
		candidates.items[0] = d.candidate(m)
		heap.Fix(candidates, 0)
	}
	return out
}

// capacity counts the tasks of a demand that fit on a set of machines. Machines that are suspected faulty count only
// in all.
type capacity struct {
	exclusive int // on machines that no other class can use and that have the image; with WaitForBooting, also without it
	cached    int // on machines that have the image or fetch it, as long as they are not hot
	all       int // on all machines
}

func (d *Demand) capacity(machines []*Machine, want int) capacity {
	var c capacity
	for _, m := range machines {
		n := d.roomOn(m)
		c.all += n
		if m.Penalty > 0 {
			continue
		}
		if d.hasImage(m) {
			c.cached += d.roomBelowHot(m)
		}
		if len(d.OtherClasses) > 0 && (d.WaitForBooting || m.Images[d.Image]) && !d.suitsOthers(m.Cap) {
			c.exclusive += n
		}
	}
	c.exclusive, c.cached = min(c.exclusive, want), min(c.cached, want)
	return c
}

// bestShard returns the machines of the shard with the most room, or nil if the job fits into
// no single shard. Room on exclusive machines counts before room on machines with the image, and
// that before room on all machines.
func bestShard(eligible []*Machine, d *Demand, want int) []*Machine {
	shards := map[string][]*Machine{}
	for _, m := range eligible {
		shards[m.Shard] = append(shards[m.Shard], m)
	}
	var best []*Machine
	bestName, largest := "", capacity{-1, -1, -1}
	for name, ms := range shards {
		c := d.capacity(ms, want)
		if c.all < want {
			continue
		}
		if cmp.Or(cmp.Compare(c.exclusive, largest.exclusive), cmp.Compare(c.cached, largest.cached), cmp.Compare(c.all, largest.all),
			cmp.Compare(bestName, name)) > 0 {
			best, bestName, largest = ms, name, c
		}
	}
	return best
}

// bestZone returns the machines of the zone with the most room for the demand.
func bestZone(eligible []*Machine, d *Demand, want int) []*Machine {
	zones := map[string][]*Machine{}
	for _, m := range eligible {
		if d.zoneRoom(m.Zone) > 0 {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	var best []*Machine
	bestName, largest := "", -1
	for name, ms := range zones {
		all := d.capacity(ms, want).all
		if all > largest || all == largest && name < bestName {
			best, bestName, largest = ms, name, all
		}
	}
	return best
}
