package controller

import (
	"testing"

	"pumicefront/config"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// A deployment that shares GPUs alone has 0 for cores in its settings, which means unspecified. When the zero was taken
// for a limit, every job was rejected with 422 and nothing ever ran; taken for a guarantee, no job was ever within it.
func TestZeroInTeamSettingsIsUnspecified(t *testing.T) {
	gpu, cores := scheduler.Resources{CPUs: 5, GPUs: 1, MemoryGB: 8}, scheduler.Resources{CPUs: 5, MemoryGB: 8}
	for name, c := range map[string]struct {
		team          config.Team
		each          scheduler.Resources
		limit, within int // number of such tasks that fit the limit and the guarantee
	}{
		"GPUs alone":              {config.Team{GPUs: 3, GPUsMax: 7}, gpu, 7, 3},
		"cores alone":             {config.Team{CPUs: 15, CPUsMax: 35}, cores, 7, 3},
		"both":                    {config.Team{CPUs: 10, CPUsMax: 100, GPUs: 3, GPUsMax: 7}, gpu, 7, 2},
		"GPUs limited only":       {config.Team{CPUs: 20, CPUsMax: 100, GPUsMax: 7}, gpu, 7, 0},
		"guaranteed, no limit":    {config.Team{GPUs: 3}, gpu, 1 << 20, 3},
		"limited, no guarantee":   {config.Team{GPUsMax: 7}, gpu, 7, 0},
		"unspecified":             {config.Team{}, cores, 1 << 20, 0},
		"cores alone, a GPU task": {config.Team{CPUs: 15, CPUsMax: 35}, gpu, 7, 3},
	} {
		q := quotaOf(c.team)
		if n, m := min(q.limit.Fits(c.each), 1<<20), q.guarantee.Fits(c.each); n != c.limit || m != c.within {
			t.Errorf("%s: %d tasks within the limit and %d within the guarantee, want %d and %d", name, n, m, c.limit, c.within)
		}
	}
}

// Admission, the room of a team, its guarantee and its excess must treat unspecified resources alike.
func TestGPUTeamIsAcceptedPlacedAndGuaranteed(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	c.quotas["red"] = quotaOf(config.Team{GPUs: 3, GPUsMax: 7})
	c.setTypes([]wire.MachineType{{Name: "g", CPUs: 12, GPUs: 2, MemoryGB: 72, Zones: []string{"a"}}})
	spec := wire.Job{ID: "req-000002", Class: "train", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 4, CPUs: 5, GPUs: 1, MemoryGB: 27}
	if !c.canRun(&spec) {
		t.Error("a job of a team with settings for GPUs alone is rejected")
	}
	service := spec
	if service.Kind, service.Tasks = wire.KindService, 8; c.canRun(&service) {
		t.Error("a service of 8 GPUs is accepted with a limit of 7")
	}
	if room := l.roomInTeam(l.c.demandOf(&spec), map[string]scheduler.Resources{"red": {CPUs: 500, GPUs: 5}}); room != 2 {
		t.Errorf("room for %d tasks with 5 of 7 GPUs used, want 2", room)
	}
	earlier := map[string]scheduler.Resources{}
	first, second := l.addJob("req-000002", &headerRecord{Job: spec, TasksPerChunk: 10}), l.addJob("req-000003", &headerRecord{Job: spec, TasksPerChunk: 10})
	first.spec.Tasks = 3
	if !l.fitsGuarantee(first, earlier) || l.fitsGuarantee(second, earlier) {
		t.Error("a guarantee of 3 GPUs must fit a job of 3 tasks and no other")
	}
	for n := range 4 {
		a := placeAttempt(l, second, n, l.machine("i-1"))
		a.phase = attemptReported
	}
	if e := l.excess()["red"]; e.GPUs != 1 {
		t.Errorf("excess of %v with 4 GPUs used and 3 guaranteed, want 1 GPU", e)
	}
}
