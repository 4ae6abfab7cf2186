// Command simadapter connects package policy to the simulator: it reads batches of messages from standard input and writes a reply to each
// to standard output. Package internal/simadapter documents the protocol.
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
