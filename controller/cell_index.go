package controller

import "pumicefront/cells"

// cellIndex finds the headers of jobs that are in other cells, or are another cell's, among those of all:
// there may be thousands, and cells talk twice a second.
type cellIndex struct {
	granted map[string]bool                // jobs that another cell may run
	foreign map[cells.Cell]map[string]bool // others' jobs, by their home
}

func (x *cellIndex) init() {
	x.granted = map[string]bool{}
	x.foreign = map[cells.Cell]map[string]bool{}
}

// changed follows a change of a job's header; nil stands for none.
func (x *cellIndex) changed(job string, was, is *headerRecord) {
	if was != nil {
		delete(x.granted, job)
		if was.Origin != nil {
			delete(x.foreign[was.Origin.Home], job)
		}
	}
	if is == nil {
		return
	}
	if is.Grant != nil {
		x.granted[job] = true
	}
	if is.Origin == nil {
		return
	}
	if x.foreign[is.Origin.Home] == nil {
		x.foreign[is.Origin.Home] = map[string]bool{}
	}
	x.foreign[is.Origin.Home][job] = true
}
