// Package translate turns what a deployment is told, in the operators' names, into the planner's: settings and figures
// of load reports under the planner's names, times in milliseconds, and small indices in place of names. The adapter
// for the simulator and the platform's both use it, so that the same settings give the same planner. It reads nothing
// and decides nothing.
package translate
