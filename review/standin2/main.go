//go:build review

// Command standin2 runs the cases of the second review: a small deployment of real controller processes on
// loopback addresses, with stand-ins for the state service, the cloud, the workers and the users.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldNot  = 2
	maxCaseLength = 118 * time.Second
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) (held bool, err error){
	"mistaken-job":    caseMistakenJob,
	"one-zone-shard":  caseZoneShard,
	"slow-tasks":      triedSlowTasks,
	"lost-links":      triedLostLinks,
	"same-id":         caseSameID,
	"avoided-machine": caseAvoidedMachine,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE REPOSITORY RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, repository, record string) int {
	d, err := newDeployment(repository, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return exitCouldNot
	}
	defer d.close()
	time.AfterFunc(maxCaseLength, func() {
		d.note("the case did not end in time")
		d.close()
		os.Exit(exitCouldNot)
	})
	d.exitOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	d.note("case %s, trouble %v", name, trouble)
	held, err := cases[name](d, trouble)
	switch {
	case err != nil:
		d.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCouldNot
	case !held:
		d.note("RULE BROKEN")
		return exitBroken
	}
	d.note("rule held")
	return exitHeld
}
