// Command standin plays the operators' platform for the cases of the review: discovery, relays, collectors, proxies and
// endpoints on loopback sockets, as the platform's pages describe them. It starts the pilots with the command of the
// deploy file, plays one scenario, and judges the rules by what crossed its sockets.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longest is the time after which a run is ended.
const longest = 116 * time.Second

func main() {
	name := flag.String("scenario", "", "scenario to play")
	record := flag.String("record", "record.txt", "file that the run is written to")
	seed := flag.Int64("seed", 1, "seed of the clients and proxies")
	trouble := flag.Bool("trouble", true, "play the scenario's disruption")
	flag.Parse()
	os.Exit(run(*name, *record, *seed, *trouble))
}

// run plays a scenario and returns the exit code.
func run(name, record string, seed int64, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	log, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.close()
	w := newWorld(s.deployment, seed, log)
	defer w.close()
	log.line("scenario %s, seed %d, trouble %t", name, seed, trouble)
	if err := w.start(ctx); err != nil {
		log.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	if err := s.play(ctx, w, trouble); err != nil {
		log.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	return w.verdict()
}
