package planner

import (
	"math"
	"slices"
)

// briefing is what was told at the start, as a plain map.
type briefing map[string]any

// num returns a figure that was told, or the fallback where none above 0 was.
func (t briefing) num(name string, fallback float64) float64 {
	v, _ := t[name].(float64)
	return pick(v > 0 && !math.IsInf(v, 0), v, fallback)
}

// inbox keeps an actor's notes until the loop empties it.
type inbox struct {
	waiting []any
	take    func(note any)
}

func (i *inbox) post(note any) { i.waiting = append(i.waiting, note) }

// pick returns one of two figures.
func pick(cond bool, yes, no float64) float64 {
	if cond {
		return yes
	}
	return no
}

// holds returns whether a list of indices names one; an empty list names all.
func holds(list []any, i int) bool { return len(list) == 0 || slices.Contains(list, any(float64(i))) }
