// Package controlv1 is generated from control.proto. `go generate ./proto/...` makes it anew.
package controlv1

//go:generate go run indigousher/internal/protogen ../.. indigousher/v1/control.proto
