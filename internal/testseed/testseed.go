// Package testseed has drawn tests draw the same each time, so that CI gives the same verdict every time.
package testseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // has the flag
)

// seed is what tests draw from, unless -rapid.seed says else.
const seed = "20261201"

// Main runs a package's tests, as the body of its TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(seed) // it is a number
	}
	os.Exit(m.Run())
}
