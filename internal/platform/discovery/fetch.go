package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxListBytes is the maximum size of a response body, in bytes.
const maxListBytes = 8 << 20

// response is the discovery agent's response to a request.
type response struct {
	body    []byte
	closing bool // the agent closes the connection after this response
}

// get sends a GET request and reads the whole response body. timeout bounds both together. A status other than 200 and
// a body longer than maxListBytes are errors that wrap ErrInvalidList.
func get(conn net.Conn, reader *bufio.Reader, host, path string, timeout time.Duration) (response, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return response{}, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		return response{}, fmt.Errorf("send discovery request: %w", err)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return response{}, fmt.Errorf("read discovery response: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // fully read, or the caller closes the connection
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return response{}, fmt.Errorf("read endpoint list: %w", err)
	}
	if resp.StatusCode != http.StatusOK || len(body) > maxListBytes {
		return response{}, fmt.Errorf("%w: status %d, %d bytes", ErrInvalidList, resp.StatusCode, len(body))
	}
	return response{body: body, closing: resp.Close}, nil
}
