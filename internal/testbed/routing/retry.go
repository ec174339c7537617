package routing

// RetryAfterMs is how long a client should wait before it retries a rejected request, in ms.
const RetryAfterMs = 300

// Retry modes, with their values in the protocol.
const (
	retryNever  = iota // one attempt
	retryUnsent        // one retry, if the previous attempt is known not to have run
	retryOnce          // one retry after any failure
	retryTwice         // two retries after any failure
	retryModes         // number of retry modes
)

// maxAttempts is the maximum number of attempts of a request, by retry mode.
var maxAttempts = [retryModes]int{retryNever: 1, retryUnsent: 2, retryOnce: 2, retryTwice: 3}

// RetryAllowed reports whether a request may be retried after the given number of attempts. notRun means that the last
// attempt is known not to have run at the endpoint. Unknown retry modes allow no retry.
func RetryAllowed(retryMode, attempts int, notRun bool) bool {
	if retryMode < 0 || retryMode >= len(maxAttempts) || attempts >= maxAttempts[retryMode] {
		return false
	}
	return retryMode != retryUnsent || notRun
}

// AttemptTimeout returns the timeout of an attempt, counted from 1, given the time left for the request. If the retry
// mode allows a retry after a timeout, the result is at most first, which leaves time for the retry.
func AttemptTimeout[T ~int64 | ~float64](retryMode, attempt int, left, first T) T {
	if retryMode >= retryOnce && attempt < retryMode {
		return min(left, first)
	}
	return left
}
