// Package simwire carries the simulator's JSON to and from the types of the decision module. It decides nothing.
package simwire
