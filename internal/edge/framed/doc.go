// Package framed is the transport where proxies join over the project's own framed protocol (internal/wire). It accepts
// streams, checks their hellos, keeps heartbeats and deadlines, and hands what arrives to the controller. It decides
// nothing about routing. What is wrong on one stream ends that stream alone.
//
// Each stream has two goroutines: one reads and one writes. The reader waits for the writer before it tells the
// controller that the proxy has left, and Serve waits for all readers.
package framed
