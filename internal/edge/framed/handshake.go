package framed

import (
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"indigousher/internal/keys"
	"indigousher/internal/wire"
)

// greet reads the hello and answers it.
func (s *Server) greet(st *stream, r *wire.Reader, w *wire.Writer) (*wire.Hello, error) {
	if err := st.conn.SetDeadline(time.Now().Add(s.door.HelloDeadline)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	m, err := r.Read()
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*wire.Hello)
	refusal := ""
	switch {
	case !ok:
		refusal = "a hello must come first"
	case hello.Version != wire.Version:
		refusal = fmt.Sprintf("version %d is not spoken here, %d is", hello.Version, wire.Version)
	}
	if tc, sealed := st.conn.(*tls.Conn); sealed && refusal == "" {
		if who, err := keys.Peer(tc.ConnectionState()); err != nil || who.Name != hello.Proxy || who.Zone != hello.Zone {
			_, werr := w.Write(&wire.Refuse{Reason: "not let in"})
			return nil, errors.Join(fmt.Errorf("%s says it is %s of %s: %w", who, hello.Proxy, hello.Zone, keys.ErrIdentity), err, werr)
		}
	}
	if refusal != "" {
		_, err := w.Write(&wire.Refuse{Reason: refusal})
		return nil, errors.Join(errors.New(refusal), err)
	}
	if _, err := w.Write(&wire.Welcome{Version: wire.Version, Pilot: s.door.Pilot,
		BeatMs: int(s.door.Beat.Milliseconds()), PeriodMs: int(s.door.Period.Milliseconds())}); err != nil {
		return nil, err
	}
	return hello, st.conn.SetWriteDeadline(time.Time{})
}
