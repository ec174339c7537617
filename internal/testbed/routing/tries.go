package routing

// ComeBackMs is told with a req that is given up.
const ComeBackMs = 300

// mostTries is how many tries a way of trying again allows.
var mostTries = [...]int{1, 2, 2, 3}

// TryFollows returns whether, by a way of trying again, another try may follow so many; proof says that the last one
// never ran.
func TryFollows(again, tries int, proof bool) bool {
	return again >= 0 && again < len(mostTries) && tries < mostTries[again] && (again != 1 || proof)
}

// Patience returns how long a try waits, of what is left, where another may follow it: no longer than first.
func Patience[T ~int64 | ~float64](again, try int, left, first T) T {
	if again >= 2 && try < again {
		return min(left, first)
	}
	return left
}
