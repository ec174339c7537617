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
func (d *countingDecider) Handle(nowMs float64, events []planner.Event) []planner.Command {
	d.estimator.observe(events) // with the tables as they stand until now
	commands := d.Decider.Handle(nowMs, events)
	d.digest = Digest(commands)
	for _, command := range commands {
		d.count(command)
	}
	return commands
}

func (d *countingDecider) count(command planner.Command) {
	switch command := command.(type) {
	case planner.SetWeight:
		d.result.Sets++
		if command.Weight == 0 {
			d.result.Removals++
		}
	case planner.SetExcluded:
		if command.Excluded {
			d.result.Exclusions++
		}
	case planner.SetAdmission:
		if command.Level < 1 {
			d.result.Levels++
		}
	case planner.AssignTable:
		d.result.Assignments++
	}
}
