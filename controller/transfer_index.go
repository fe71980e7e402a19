package controller

import "pumicefront/cells"

// transferIndex indexes the headers of jobs that are granted to other cells or held for them. The leader reconciles
// these jobs with the other cells twice a second, and must not scan all headers each time: there may be thousands.
type transferIndex struct {
	granted map[string]bool                // by job ID: own jobs that another cell may run
	foreign map[cells.Cell]map[string]bool // by home and job ID: jobs held for other cells
}

func (x *transferIndex) init() {
	x.granted = map[string]bool{}
	x.foreign = map[cells.Cell]map[string]bool{}
}

// update updates the index after a change of a job's header; nil stands for no header.
func (x *transferIndex) update(job string, before, after *headerRecord) {
	if before != nil {
		delete(x.granted, job)
		if before.Origin != nil {
			delete(x.foreign[before.Origin.Home], job)
		}
	}
	if after == nil {
		return
	}
	if after.Grant != nil {
		x.granted[job] = true
	}
	if after.Origin == nil {
		return
	}
	if x.foreign[after.Origin.Home] == nil {
		x.foreign[after.Origin.Home] = map[string]bool{}
	}
	x.foreign[after.Origin.Home][job] = true
}
