// Package keys is who may speak to whom: mutual TLS from files that may change while streams go on, identity, zone and
// role from the certificate, and a small authority for rehearsals. What is wrong with a peer's certificate is told to
// operators; the peer sees only that it was not let in.
package keys
