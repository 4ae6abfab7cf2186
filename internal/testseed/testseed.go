// Package testseed runs a package's property tests with a fixed seed, so that CI gives the same result each time. The flag -rapid.seed
// selects another seed.
package testseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

const (
	seedFlag = "rapid.seed"
	// unset is the flag's default value, for which rapid draws a random seed.
	unset = "0"
	// fixedSeed is the seed when the flag is not given.
	fixedSeed = "20261201"
)

// Main runs a package's tests; the package's TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup(seedFlag); f.Value.String() == unset {
		_ = f.Value.Set(fixedSeed) // can't fail: fixedSeed is a number
	}
	os.Exit(m.Run())
}
