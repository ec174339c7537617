// Package relay is the client of the platform's relay, which holds the proxies' connections. Sender delivers the
// planner's commands, one call per controller turn, in order. EventStream receives the proxies' events. The relay
// itself queues and paces; this package queues only while a call is in flight or the relay is unreachable. It makes
// no routing decisions.
//
// Commands are delivered at least once. Every command sets state, so executing one twice has the same result as once.
// Retries and their limits:
//
//   - A call that was not sent completely, or arrived before the run started, is retried without limit (retry.go,
//     callFailed), with backoff (outage.go, nextPause).
//   - A call whose outcome is unknown is retried once per outage (retry.go, handleUnknownOutcome), because only empty calls
//     are sent until one of them is answered (retry.go, probe).
//   - A call rejected as a whole is sent maxRejections times in total and then dropped (retry.go, handleRejection).
//   - A command at which the relay halted is retried once and then dropped (retry.go, retryHalted).
//
// A retried call is first merged with everything queued, so that it never overwrites newer state (merge.go).
package relay
