package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// get makes one call and returns the body of its answer, and whether the connection takes no other.
func get(conn net.Conn, r *bufio.Reader, host, path string, within time.Duration) (body []byte, last bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(within)); err != nil {
		return nil, false, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		return nil, false, fmt.Errorf("ask discovery: %w", err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, false, fmt.Errorf("read discovery's answer: %w", err)
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, false, fmt.Errorf("read the list: %w", err)
	}
	if resp.StatusCode != http.StatusOK || len(body) > maxListBytes {
		return nil, false, fmt.Errorf("%w: status %d, %d bytes", ErrInvalidList, resp.StatusCode, len(body))
	}
	return body, resp.Close, nil
}
