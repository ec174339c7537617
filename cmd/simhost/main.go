// Command simhost runs pilots' decisions on the simulator's wire: batches on standard input, replies on
// standard output.
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
