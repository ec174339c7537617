// Package translate turns what a deployment is told, in the operators' words, into the module's: settings into terms,
// and names into small indices. The simulator's wire and the platform both use it, so that the same settings give the
// module the same terms. It reads nothing and decides nothing.
package translate
