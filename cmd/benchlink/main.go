// Command benchlink runs the decisions of package policy on the simulator's wire: batches on standard
// input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"mallowlead/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
