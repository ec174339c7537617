package record

import (
	"indigousher/internal/controller"
	"indigousher/planner"
)

// countingDecider forwards events to a planner and counts the commands that the planner returns.
type countingDecider struct {
	controller.Decider
	result    *Result
	digest    uint64 // of the commands that the planner returned last
	estimator *estimator
}

// Handle forwards events to the planner and counts the commands that it returns.
func (d *countingDecider) Handle(nowMs float64, events []planner.Event) []planner.Command {
	d.estimator.observe(events) // uses the tables as they were before the planner's commands
	commands := d.Decider.Handle(nowMs, events)
	d.digest = Digest(commands)
	for _, command := range commands {
		d.count(command)
	}
	return commands
}

// count adds a command to the counts of the result.
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
			d.result.ReducedAdmissions++
		}
	case planner.AssignTable:
		d.result.Assignments++
	}
}
