// Package list is the edge to where endpoints are listed: a file that is watched, or a source that streams changes
// over the framed protocol. It hands entries to the runtime as they come and decides nothing about them.
package list
