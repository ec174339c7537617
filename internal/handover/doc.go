// Package handover passes a pilot's listeners from a running process to a new one over a Unix socket. The old process
// stops its pilot before the new one begins. Who may serve follows from a claim, a lock that only one process can hold, so
// never do two write to one proxy, whatever message is lost: the old one goes on by itself if the new one does not say that
// it serves and the claim is free. What each side does next is decided by recovery.Old and recovery.New. State passes through
// the record, which the old one closes first.
package handover
