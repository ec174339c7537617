package proxy

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"indigousher/internal/wire"
)

// Framed returns a Joiner for the framed protocol. It uses TLS if tlsConfig is not nil.
func Framed(tlsConfig *tls.Config) Joiner {
	return func(ctx context.Context, dial Dial, address string, hello *wire.Hello) (Stream, *wire.Welcome, error) {
		conn, err := dial(ctx, "tcp", address)
		if err != nil {
			return nil, nil, err
		}
		if tlsConfig != nil {
			conn = tls.Client(conn, tlsConfig)
		}
		stream := &framedStream{conn: conn, writer: wire.NewWriter(conn), reader: wire.NewReader(conn, 0)}
		welcome, err := stream.exchangeHello(hello)
		if err != nil {
			stream.Close()
			return nil, nil, err
		}
		return stream, welcome, nil
	}
}

// framedStream implements Stream over the framed protocol.
type framedStream struct {
	conn   net.Conn
	writer *wire.Writer
	reader *wire.Reader
}

// exchangeHello sends the hello message and returns the welcome of the pilot.
func (s *framedStream) exchangeHello(hello *wire.Hello) (*wire.Welcome, error) {
	if err := s.Write(hello, helloTimeout); err != nil {
		return nil, err
	}
	message, err := s.Read(helloTimeout)
	if err != nil {
		return nil, err
	}
	welcome, ok := message.(*wire.Welcome)
	if !ok {
		return nil, fmt.Errorf("unexpected answer %T to hello: %w", message, wire.ErrType)
	}
	return welcome, nil
}

// Write implements Stream.
func (s *framedStream) Write(m wire.Message, timeout time.Duration) error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(timeout)) // if this fails, the write fails too
	_, err := s.writer.Write(m)
	return err
}

// Read implements Stream.
func (s *framedStream) Read(timeout time.Duration) (wire.Message, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(timeout)) // if this fails, the read fails too
	return s.reader.Read()
}

// Last implements Stream.
func (s *framedStream) Last() uint32 { return s.reader.Last() }

// Close implements Stream.
func (s *framedStream) Close() { _ = s.conn.Close() }
