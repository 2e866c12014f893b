// Package testseed sets the seed and the number of checks of rapid's property
// tests, so that test runs are reproducible. Test files import it for its side
// effects. The environment variables SEED, STEPS and NOFAILFILE override the
// defaults.
package testseed

import (
	"flag"
	"os"

	// Declares the flags that are set below.
	_ "pgregory.net/rapid"
)

// Default seed and number of checks per property test.
const (
	defaultSeed   = "1"
	defaultChecks = "100"
)

func init() {
	set("rapid.seed", "SEED", defaultSeed)
	set("rapid.checks", "STEPS", defaultChecks)
	set("rapid.nofailfile", "NOFAILFILE", "true")
}

// set sets a flag to the value of an environment variable, or else to the given
// value. It runs before the command line is parsed, so command-line flags win.
func set(name, env, value string) {
	if v := os.Getenv(env); v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
