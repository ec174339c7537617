// Package daemon puts a pilot together from its terms: the module, the runtime and the edges, their listeners and
// their end. It decides nothing; cmd/indigousher and the rehearsal start pilots through it.
package daemon
