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

// Reasons sent to a rejected proxy. Why its identity was rejected is reported to operators only.
const (
	refusalNoHello  = "a hello must come first"
	refusalIdentity = "not let in"
)

// greet reads, checks and answers the hello. If it rejects the hello, it sends the reason to the proxy and returns an
// error.
func (s *Server) acceptHello(st *stream, r *wire.Reader, w *wire.Writer) (*wire.Hello, error) {
	if err := st.conn.SetDeadline(time.Now().Add(s.config.HelloDeadline)); err != nil {
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

// welcome returns the answer to an accepted hello.
func (s *Server) welcome() *wire.Welcome {
	return &wire.Welcome{
		Version:        wire.Version,
		Pilot:          s.config.Pilot,
		HeartbeatMs:    int(s.config.Beat.Milliseconds()),
		ReportPeriodMs: int(s.config.Period.Milliseconds()),
	}
}

// refuse sends a refusal and returns why, joined with the error of sending.
func sendRefusal(w *wire.Writer, reason string, cause error) error {
	_, err := w.Write(&wire.Refuse{Reason: reason})
	return errors.Join(cause, err)
}

// checkIdentity returns an error if the certificate of a TLS connection does not match the proxy in the hello. Without
// TLS there is nothing to check.
func checkIdentity(conn net.Conn, hello *wire.Hello) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	peer, err := identity.FromConnection(tlsConn.ConnectionState())
	if err == nil && peer.Name == hello.Proxy && peer.Zone == hello.Zone {
		return nil
	}
	return errors.Join(fmt.Errorf("%s says it is %s of %s: %w", peer, hello.Proxy, hello.Zone, identity.ErrIdentity), err)
}
