// Command simhost runs planners for the simulator. It reads batches of events from standard input and writes the
// replies to standard output.
package main

import (
	"fmt"
	"os"

	"indigousher/internal/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
