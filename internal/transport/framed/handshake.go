package framed

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"indigousher/internal/identity"
	"indigousher/internal/wire"
)

// Reasons in the Refuse message to a rejected proxy. They are part of the protocol.
const (
	// refusalNoHello is sent if the first message of a stream is not a Hello.
	refusalNoHello = "a hello must come first"
	// refusalIdentity is sent if the proxy's certificate does not match its Hello. The details are only logged, so that
	// unauthenticated peers learn nothing about accepted identities.
	refusalIdentity = "not let in"
)

// acceptHello reads and validates the Hello and answers with a Welcome. If it rejects the Hello, it sends the reason to
// the proxy and returns an error.
func (s *Server) acceptHello(st *stream, r *wire.Reader, w *wire.Writer) (*wire.Hello, error) {
	if err := st.conn.SetDeadline(time.Now().Add(s.config.HelloTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	first, err := r.Read()
	if err != nil {
		return nil, err
	}
	hello, ok := first.(*wire.Hello)
	if !ok {
		return nil, sendRefusal(w, refusalNoHello, errors.New(refusalNoHello))
	}
	if hello.Version != wire.Version {
		refusal := fmt.Sprintf("version %d is not spoken here, %d is", hello.Version, wire.Version)
		return nil, sendRefusal(w, refusal, errors.New(refusal))
	}
	if err := checkIdentity(st.conn, hello); err != nil {
		return nil, sendRefusal(w, refusalIdentity, err)
	}
	if _, err := w.Write(s.welcome()); err != nil {
		return nil, err
	}
	return hello, st.conn.SetWriteDeadline(time.Time{})
}

// welcome returns the Welcome message for an accepted proxy.
func (s *Server) welcome() *wire.Welcome {
	return &wire.Welcome{
		Version:        wire.Version,
		Pilot:          s.config.Pilot,
		HeartbeatMs:    int(s.config.HeartbeatInterval.Milliseconds()),
		ReportPeriodMs: int(s.config.ReportInterval.Milliseconds()),
	}
}

// sendRefusal sends a Refuse message and returns cause, joined with the write error if there is one.
func sendRefusal(w *wire.Writer, reason string, cause error) error {
	_, err := w.Write(&wire.Refuse{Reason: reason})
	return errors.Join(cause, err)
}

// checkIdentity returns an error if the peer certificate of a TLS connection does not match the proxy name and zone in
// the Hello. For connections without TLS it returns nil.
func checkIdentity(conn net.Conn, hello *wire.Hello) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	peer, err := identity.FromConnection(tlsConn.ConnectionState())
	if err == nil && peer.Name == hello.Proxy && peer.Zone == hello.Zone {
		return nil
	}
	return errors.Join(fmt.Errorf("certificate of %s does not match proxy %q in zone %q: %w",
		peer, hello.Proxy, hello.Zone, identity.ErrIdentity), err)
}
