// Package list follows the endpoint list: a source that streams changes over the framed protocol, or a file that is
// watched. It hands entries to the controller as they come and decides nothing about them.
package list
