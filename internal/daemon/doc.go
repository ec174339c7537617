// Package daemon builds a controller from its configuration: planner, control loop, record, transports and listeners.
// It also runs the controller, shuts it down, and hands its listeners over to another process. The package makes no
// planning decisions; cmd/indigousher and the rehearsal start controllers through it.
//
//	daemon.go, options.go    the controller and its options
//	assemble.go              construction of the parts; the steps are in listeners.go, identity.go,
//	                         gossip.go, healthcheck.go, core.go, servers.go
//	recording.go, recover.go the record of turns, and recovery of state from the record of the previous run
//	run.go, reload.go        running, shutdown, reloading of settings
//	host.go, handoff.go      the process: start, takeover from another process, handoff to another process
package daemon
