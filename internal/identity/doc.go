// Package identity authenticates peers. It provides mutual TLS from certificate files that are reloaded when they
// change, the identity (role, zone and name) in a peer's certificate, authenticated encryption of datagrams between
// controllers with replay protection, and a small certificate authority for rehearsals and tests.
//
// Why a peer's certificate was rejected is reported to operators only. The peer learns no more than that it was
// rejected.
package identity
