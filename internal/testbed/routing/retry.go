package routing

// RetryAfterMs goes with a rejected request: how long the client should wait before it asks again.
const RetryAfterMs = 300

// Retry modes, as they are sent to proxies.
const (
	retryNever  = iota // one attempt
	retryUnsent        // one retry, if the attempt before is known not to have run
	retryOnce          // one retry after any failure
	retryTwice         // two retries after any failure
	retryModes         // how many there are
)

// maxAttempts is how many attempts a request may have, by retry mode.
var maxAttempts = [retryModes]int{retryNever: 1, retryUnsent: 2, retryOnce: 2, retryTwice: 3}

// RetryAllowed returns whether another attempt may follow, after so many. NotRun says that the last one is known not to
// have run.
func RetryAllowed(retryMode, attempts int, notRun bool) bool {
	if retryMode < 0 || retryMode >= len(maxAttempts) || attempts >= maxAttempts[retryMode] {
		return false
	}
	return retryMode != retryUnsent || notRun
}

// AttemptTimeout returns how long an attempt, counted from 1, may take of what is left of a request's time. Where a
// retry after any failure may follow it waits no longer than first, so that time is left for that.
func AttemptTimeout[T ~int64 | ~float64](retryMode, attempt int, left, first T) T {
	if retryMode >= retryOnce && attempt < retryMode {
		return min(left, first)
	}
	return left
}
