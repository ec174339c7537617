package brain

// pick returns one of two figures.
func pick(cond bool, yes, no float64) float64 {
	if cond {
		return yes
	}
	return no
}
