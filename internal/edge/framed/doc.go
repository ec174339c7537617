// Package framed is the edge where proxies join over the project's own framed protocol. It accepts streams, checks
// hellos, keeps heartbeats and deadlines, and hands what arrives to the runtime. It decides nothing about routing.
// One stream's faults end that stream alone.
package framed
