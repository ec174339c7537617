package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// maxCallBytes bounds the encoded commands of a call. The relay accepts a body of up to 60,000 bytes.
const maxCallBytes = 59000

// Ways in which a call fails. They differ in whether its commands may have been executed.
var (
	// errNotExecuted: the request was not sent completely, so the relay has executed nothing.
	errNotExecuted = errors.New("not carried out")
	// errOutcomeUnknown: the request was sent, and no usable answer was received.
	errOutcomeUnknown = errors.New("carried out or not")
	// errRunNotStarted: the relay does not accept commands yet and has executed nothing.
	errRunNotStarted = errors.New("the run has not begun")
	// errRejected: the relay rejected the call as a whole and has executed nothing.
	errRejected = errors.New("refused")
)

// call is a sequence of commands sent to the relay in one request. The relay executes them in order and halts at the
// first invalid one.
type call []command

// ackNumbers returns the numbers of the ack requests in a call, including superseded ones.
func (c call) ackNumbers() (numbers []int) {
	for _, cmd := range c {
		numbers = append(numbers, cmd.acks...)
	}
	return numbers
}

// encodeRequest returns the HTTP request for a call, head and body.
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

// parseResponse returns how many commands of a call the relay has executed, according to the body of its answer. If that
// cannot be decoded, or the count is impossible for a call of this length, the outcome is unknown.
func parseResponse(body []byte, commands int) (executed int, err error) {
	var decoded struct {
		Count *int    `json:"ok_count"`
		Error *string `json:"error"`
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return 0, fmt.Errorf("%w: unreadable answer: %w", errOutcomeUnknown, err)
	}
	switch {
	case decoded.Error != nil && *decoded.Error == "limit":
		return 0, errRunNotStarted
	case decoded.Error != nil:
		return 0, fmt.Errorf("%w: %.80q", errRejected, *decoded.Error)
	case decoded.Count == nil || *decoded.Count < 0 || *decoded.Count > commands:
		return 0, fmt.Errorf("%w: no possible count in the answer", errOutcomeUnknown)
	}
	return *decoded.Count, nil
}
