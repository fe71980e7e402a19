package scheduler

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// While a zone's work restarts, services come before batch jobs, prod services first. Batch jobs are
// ordered by phase, but only after age and guarantees.
func TestRestartPhasesOrderDemands(t *testing.T) {
	named := func(job string, service bool, phase RestartPhase) *Demand {
		return &Demand{Job: job, Service: service, Rank: 2, RestartPhase: phase, WithinGuarantee: true}
	}
	// Work and name, which are compared after the phase, would order the demands the other way round.
	aged, borrowed := named("f-aged", false, RestartRest), named("a-borrowed", false, RestartDeadlineBatches)
	aged.Aged, aged.AgeS, borrowed.WithinGuarantee = true, 100, false
	prod, other := named("z-prod", true, RestartProdServices), named("b-service", true, RestartServices)
	timely, rest := named("y-timely", false, RestartDeadlineBatches), named("c-rest", false, RestartRest)
	prod.WorkS, prod.WithinGuarantee, timely.WorkS = 9, false, 9 // services come first even beyond their guarantee
	ds := []*Demand{rest, borrowed, other, timely, aged, prod}
	Order(ds)
	var got []string
	for _, d := range ds {
		got = append(got, d.Job)
	}
	if want := []string{"z-prod", "b-service", "f-aged", "y-timely", "c-rest", "a-borrowed"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// No zone gets more starts or fetches than its limit allows, a limit with PinnedOnly admits only demands
// that can run in no other zone, and starts of a gang that does not fit are returned to the limit.
func TestStartLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := append(machines(rapid.IntRange(1, 6).Draw(t, "in a"), "a", 8), machines(3, "b", 8)...)
		for _, m := range ms {
			m.Images["img"] = rapid.Bool().Draw(t, "cached")
		}
		starts, fetches := rapid.IntRange(0, 9).Draw(t, "starts"), rapid.IntRange(0, 5).Draw(t, "fetches")
		limit := &StartLimit{Starts: starts, FetchLimit: func(string) int { return fetches }, PinnedOnly: rapid.Bool().Draw(t, "pinned only")}
		started, fetched := 0, 0
		for range rapid.IntRange(1, 4).Draw(t, "demands") {
			d := demand(rapid.IntRange(1, 8).Draw(t, "tasks"), float64(rapid.IntRange(1, 4).Draw(t, "each")))
			d.Gang, d.OneZone = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "one zone")
			d.Zone = rapid.SampledFrom([]string{"", "a"}).Draw(t, "zone")
			d.StartLimits = map[string]*StartLimit{"a": limit}
			pinned := d.pinnedTo("a")
			for _, p := range Place(ms, d) {
				if p.Machine.Zone != "a" {
					continue
				}
				if limit.PinnedOnly && !pinned {
					t.Fatalf("%+v starts in a zone that admits only demands pinned to it", d)
				}
				started++
				fetched += boolToInt(!p.Machine.Images["img"])
			}
		}
		if started > starts || fetched > fetches || limit.Starts != starts-started {
			t.Fatalf("%d starts of %d allowed, %d fetches of %d allowed; limit has %d starts left", started, starts, fetched, fetches, limit.Starts)
		}
	})
}
