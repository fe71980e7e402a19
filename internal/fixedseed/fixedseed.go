// Package fixedseed makes drawn tests (rapid) say the same in each run.
package fixedseed

import (
	"flag"
	"fmt"
	"testing"
)

// Run runs a package's tests with a fixed seed; -rapid.seed=N draws others. It returns the exit code.
func Run(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(fmt.Errorf("fix the seed: %w", err))
		}
	}
	return m.Run()
}
