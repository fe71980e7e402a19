package scheduler

import (
	"os"
	"testing"

	"pumicefront/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
