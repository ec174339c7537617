// Package identity authenticates peers. It provides mutual TLS from certificate files that are reloaded when they
// change, the identity (role, zone and name) in a peer's certificate, authenticated encryption of datagrams between
// controllers with replay protection, and a small certificate authority for rehearsals and tests.
//
// The reason why a peer's certificate was rejected is reported to operators only. The peer is only informed that it was
// rejected.
package identity
