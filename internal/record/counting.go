package record

import (
	"indigousher/internal/controller"
	"indigousher/planner"
)

// countingDecider passes events on to a planner and counts the commands that come back.
type countingDecider struct {
	controller.Decider
	result    *Result
	digest    uint64 // of the commands given last
	estimator *estimator
}

// Handle asks the planner.
func (d *countingDecider) Handle(nowMs float64, events []planner.Note) []planner.Order {
	d.estimator.observe(events) // with the tables as they stand until now
	commands := d.Decider.Handle(nowMs, events)
	d.digest = Digest(commands)
	for _, command := range commands {
		d.count(command)
	}
	return commands
}

func (d *countingDecider) count(command planner.Order) {
	switch command := command.(type) {
	case planner.SetLine:
		d.result.Sets++
		if command.Weight == 0 {
			d.result.Zeros++
		}
	case planner.Withdraw:
		if command.Out {
			d.result.Withdrawals++
		}
	case planner.Admit:
		if command.Level < 1 {
			d.result.Levels++
		}
	case planner.Bind:
		d.result.Binds++
	}
}
