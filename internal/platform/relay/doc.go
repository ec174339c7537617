// Package relay is the client of the platform's relay, which holds the connections to the proxies. Sender delivers the
// planner's commands in order, with one call for each turn of the control loop. EventStream receives the proxies'
// events. The relay queues commands and limits their rate itself; this package queues them only while a call is in
// flight or the relay is unreachable. It makes no routing decisions.
//
// Commands are delivered at least once. Every command is idempotent, because it sets state. Retries and their limits:
//
//   - A call that was not sent completely, or that arrived before the relay accepts commands, is retried without limit
//     (Sender.handleFailure), with backoff (outage.nextPause).
//   - A call whose outcome is unknown is retried once per outage (Sender.handleUnknownOutcome), because only empty
//     calls are sent until the relay responds to one (Sender.probe).
//   - A call rejected as a whole is sent maxRejections times in total and then dropped (Sender.handleRejection).
//   - A command at which the relay halted is retried once and then dropped (Sender.retryHalted).
//
// Before a call is retried, it is merged with all queued calls, so that it never overwrites newer state (merge).
package relay
