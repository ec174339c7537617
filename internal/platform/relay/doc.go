// Package relay is the client of the platform's relay, which holds the proxies' streams. Sender carries the planner's
// commands out, one call for each controller turn, in order; EventStream brings the proxies' events in. The relay
// queues and paces; this package queues only while a call is in flight or the relay is out of reach. It decides
// nothing about routing.
//
// Commands are delivered at least once, and each of them sets state, so that executing it twice is as good as once.
// What is sent again, and what limits it:
//
//   - a call that did not leave whole, or came before the start of the run: as often as it takes (retry.go,
//     callFailed), with backoff (outage.go, nextPause);
//   - a call whose outcome is unknown: once for an outage (retry.go, outcomeUnknown), as nothing but empty calls goes
//     out until one of them is answered (retry.go, probe);
//   - a call rejected as a whole: maxRejections times in all, then it is dropped (retry.go, rejected);
//   - a command that the relay halted at: once, then it is dropped (retry.go, retryHalted).
//
// What is sent again is merged with all that waits, so that it never overtakes anything newer (merge.go).
package relay
