// Package daemon puts a controller together from its configuration: planner, control loop, record and transports, their
// listeners and their end. It decides nothing; cmd/indigousher and the rehearsal start controllers through it.
//
//	daemon.go, options.go    one controller and what it is made from
//	assemble.go              how its parts are put together; its steps in listeners.go, identity.go,
//	                         gossip.go, healthcheck.go, core.go, servers.go
//	recording.go, recover.go the record of its turns, and its state from that of the life before
//	run.go, reload.go        its run, its shutdown, changed settings
//	host.go, handoff.go      the process: start, takeover from another process, handoff to one
package daemon
