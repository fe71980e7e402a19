// Package fixedseed makes property-based tests (rapid) generate the same cases in every run.
package fixedseed

import (
	"flag"
	"fmt"
	"testing"
)

// Run runs a package's tests with a fixed seed, unless the flag -rapid.seed=N sets another one. It returns
// the exit code.
func Run(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(fmt.Errorf("set rapid.seed: %w", err))
		}
	}
	return m.Run()
}
