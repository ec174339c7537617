package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxListBytes bounds the body of a response.
const maxListBytes = 8 << 20

// response is discovery's response to a call.
type response struct {
	body    []byte
	closing bool // discovery closes the connection after it
}

// get makes one call and reads the whole response.
func get(conn net.Conn, reader *bufio.Reader, host, path string, timeout time.Duration) (response, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return response{}, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		return response{}, fmt.Errorf("ask discovery: %w", err)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return response{}, fmt.Errorf("read discovery's answer: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // it has been read, or the connection is closed next
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return response{}, fmt.Errorf("read the list: %w", err)
	}
	if resp.StatusCode != http.StatusOK || len(body) > maxListBytes {
		return response{}, fmt.Errorf("%w: status %d, %d bytes", ErrInvalidList, resp.StatusCode, len(body))
	}
	return response{body: body, closing: resp.Close}, nil
}
