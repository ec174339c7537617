package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// maxCallBytes is the maximum total size of the encoded commands in a call. The relay accepts request bodies of up to
// 60,000 bytes.
const maxCallBytes = 59000

// Causes of a failed call. They differ in whether the relay may have executed its commands.
var (
	// errNotExecuted means that the request was not sent completely, so the relay has executed none of its commands.
	errNotExecuted = errors.New("call not executed")
	// errOutcomeUnknown means that the request was sent but no usable response was received, so the relay may or may not
	// have executed its commands.
	errOutcomeUnknown = errors.New("call outcome unknown")
	// errRunNotStarted means that the relay accepts no commands yet, because the platform's run has not started, and has
	// executed none.
	errRunNotStarted = errors.New("run has not started")
	// errRejected means that the relay rejected the call as a whole and has executed none of its commands.
	errRejected = errors.New("refused")
)

// call is a sequence of commands that is sent to the relay in one HTTP request. The relay executes the commands in
// order and halts at the first invalid one.
type call []command

// ackNumbers returns the numbers of the ack requests in a call, including those that merge superseded.
func (c call) ackNumbers() (numbers []int) {
	for _, cmd := range c {
		numbers = append(numbers, cmd.acks...)
	}
	return numbers
}

// encodeRequest returns the HTTP request for a call: head and body. A nil call has no commands.
func encodeRequest(host string, c call) []byte {
	var body bytes.Buffer
	body.WriteString(`{"ops":[`)
	for i, cmd := range c {
		if i > 0 {
			body.WriteByte(',')
		}
		body.Write(cmd.encoded)
	}
	body.WriteString("]}")
	head := "POST /v1/orders HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(body.Len()) + "\r\n\r\n"
	return append([]byte(head), body.Bytes()...)
}

// parseResponse returns how many commands of a call the relay has executed, according to the response body. commands is
// the number of commands in the call. The error wraps errOutcomeUnknown if the body cannot be decoded or the count is
// missing or impossible; otherwise it is errRunNotStarted or wraps errRejected.
func parseResponse(body []byte, commands int) (executed int, err error) {
	var decoded struct {
		Count *int    `json:"ok_count"`
		Error *string `json:"error"`
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return 0, fmt.Errorf("%w: decode response: %w", errOutcomeUnknown, err)
	}
	switch {
	case decoded.Error != nil && *decoded.Error == "limit":
		return 0, errRunNotStarted
	case decoded.Error != nil:
		return 0, fmt.Errorf("relay %w the call: %.80q", errRejected, *decoded.Error)
	case decoded.Count == nil || *decoded.Count < 0 || *decoded.Count > commands:
		return 0, fmt.Errorf("%w: ok_count is missing or out of range", errOutcomeUnknown)
	}
	return *decoded.Count, nil
}
