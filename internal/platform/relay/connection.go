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
var dialer = net.Dialer{Timeout: dialWithin}

func (r *Orders) hangUp() {
	if r.conn != nil {
		_ = r.conn.Close()
		r.conn = nil
	}
}

// exchange sends a call and returns what the relay says to it.
func (r *Orders) exchange(ctx context.Context, address string, call []op) (body []byte, last bool, err error) {
	if r.conn != nil && (r.to != address || time.Since(r.used) > idleMost || peek.At(r.conn) != peek.Quiet) {
		r.hangUp()
	}
	if r.conn == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, false, fmt.Errorf("%w: dial relay: %w", errNotSent, err)
		}
		r.conn, r.to, r.reader = conn, address, bufio.NewReaderSize(conn, 1024)
	}
	if err := r.conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return nil, false, fmt.Errorf("%w: set deadline: %w", errNotSent, err)
	}
	if _, err := r.conn.Write(request(address, call)); err != nil { // the last byte has not left
		return nil, false, fmt.Errorf("%w: write call: %w", errNotSent, err)
	}
	body, last, err = r.read()
	r.used = time.Now()
	return body, last, err
}

// read reads an answer whole.
func (r *Orders) read() (body []byte, last bool, err error) {
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return nil, false, fmt.Errorf("%w: read answer: %w", errUncertain, err)
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return nil, false, fmt.Errorf("%w: read answer: %w", errUncertain, err)
	}
	return body, resp.Close, nil
}
