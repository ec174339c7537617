package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"indigousher/internal/platform/peek"
)

// dialer opens connections to the relay.
var dialer = net.Dialer{Timeout: dialTimeout}

func (s *Orders) closeConnection() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// roundTrip sends a call and returns what the relay says to it.
func (s *Orders) roundTrip(ctx context.Context, address string, call []command) (body []byte, last bool, err error) {
	if s.conn != nil && (s.connAddress != address || time.Since(s.lastUsed) > maxIdle || peek.Peek(s.conn) != peek.Idle) {
		s.closeConnection()
	}
	if s.conn == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, false, fmt.Errorf("%w: dial relay: %w", errNotExecuted, err)
		}
		s.conn, s.connAddress, s.reader = conn, address, bufio.NewReaderSize(conn, 1024)
	}
	if err := s.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, false, fmt.Errorf("%w: set deadline: %w", errNotExecuted, err)
	}
	if _, err := s.conn.Write(encodeRequest(address, call)); err != nil { // the last byte has not left
		return nil, false, fmt.Errorf("%w: write call: %w", errNotExecuted, err)
	}
	body, last, err = s.readAnswer()
	s.lastUsed = time.Now()
	return body, last, err
}

// readAnswer reads an answer whole.
func (s *Orders) readAnswer() (body []byte, last bool, err error) {
	resp, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return nil, false, fmt.Errorf("%w: read answer: %w", errOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, false, fmt.Errorf("%w: read answer: %w", errOutcomeUnknown, err)
	}
	return body, resp.Close, nil
}
