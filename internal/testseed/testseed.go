// Package testseed runs a package's property tests from one fixed seed, so that CI gives the same verdict each time. Another seed is
// given with -rapid.seed.
package testseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

const (
	seedFlag = "rapid.seed"
	// unset is the flag's value when it is not given: rapid draws a seed then.
	unset = "0"
	// fixedSeed is the seed when the flag is not given.
	fixedSeed = "20261201"
)

// Main runs a package's tests, as the body of its TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup(seedFlag); f.Value.String() == unset {
		_ = f.Value.Set(fixedSeed) // a number, so it can't fail
	}
	os.Exit(m.Run())
}
