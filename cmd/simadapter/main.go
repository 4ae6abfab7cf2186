// Command simadapter runs the decisions of package policy on the simulator's protocol: batches on standard input, replies on standard
// output. The protocol is written down in package internal/simadapter.
package main

import (
	"fmt"
	"os"

	"frostlink/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
