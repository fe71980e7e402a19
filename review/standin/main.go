//go:build review

// Command standin runs the cases of the review: stand-ins of the state service, the cloud, the workers, the
// users and the platform around real controller processes. Each run.sh names its case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// trouble reports whether the case has its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	cases := map[string]func(){"cell-limit": cellLimit, "watch-gap": watchGap, "watch-gap-crash": watchGapCrash}
	run := cases[os.Args[len(os.Args)-1]]
	if run == nil || os.Getenv("RECORD") == "" {
		fmt.Fprintln(os.Stderr, "usage: RECORD=FILE standin CASE")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(118 * time.Second):
		}
		fatal("stopped before its end")
	}()
	run()
}
