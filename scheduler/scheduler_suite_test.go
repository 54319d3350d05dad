package scheduler_test

import (
	"flag"
	"os"
	"testing"

	"github.com/chestnutsail/chestnutsail/suite"
)

// TestMain sets a fixed seed and number of checks for the property tests, unless they
// are given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestScheduler(t *testing.T) { suite.Run(t, "scheduler") }
