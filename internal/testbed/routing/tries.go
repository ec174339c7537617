package routing

// RetryAfterMs is told with a req that is given up.
const RetryAfterMs = 300

// maxAttempts is how many tries a way of trying again allows.
var maxAttempts = [...]int{1, 2, 2, 3}

// RetryAllowed returns whether, by a way of trying again, another try may follow so many; proof says that the last one
// never ran.
func RetryAllowed(again, tries int, proof bool) bool {
	return again >= 0 && again < len(maxAttempts) && tries < maxAttempts[again] && (again != 1 || proof)
}

// AttemptTimeout returns how long a try waits, of what is left, where another may follow it: no longer than first.
func AttemptTimeout[T ~int64 | ~float64](again, try int, left, first T) T {
	if again >= 2 && try < again {
		return min(left, first)
	}
	return left
}
