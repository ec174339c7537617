// Package keys says who may speak to whom: mutual TLS from files that may change while streams go on; role, zone and
// name of a peer from its certificate; sealed datagrams between controllers; and a small authority for rehearsals and
// tests. What is wrong with a peer's certificate operators are told; the peer sees only that it was not let in.
package keys
