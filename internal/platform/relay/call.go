package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// maxCallBytes bounds the commands of a call. The relay takes 60,000 bytes with all that surrounds them.
const maxCallBytes = 59000

// How a call may fail. Each says whether its commands may have been executed.
var (
	// errNotExecuted: it did not leave whole, so that the relay has executed nothing.
	errNotExecuted = errors.New("not carried out")
	// errOutcomeUnknown: it left whole, and no usable answer came.
	errOutcomeUnknown = errors.New("carried out or not")
	// errRunNotStarted: the relay takes no commands yet and has executed nothing.
	errRunNotStarted = errors.New("the run has not begun")
	// errRejected: the relay rejected it as a whole and has executed nothing.
	errRejected = errors.New("refused")
)

// call is a sequence of commands that goes to the relay in one request. The relay executes them in order and halts at
// the first that it can't use.
type call []command

// ackNumbers returns the numbers of a call's ack requests, with those that they have superseded.
func (c call) ackNumbers() (numbers []int) {
	for _, cmd := range c {
		numbers = append(numbers, cmd.acks...)
	}
	return numbers
}

// encodeRequest returns the HTTP request of a call.
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

// parseAnswer returns how many of a call's commands the relay says to have executed. An answer that can't be read, or
// can't be true of a call of this length, leaves the outcome unknown.
func parseAnswer(body []byte, commands int) (executed int, err error) {
	var answer struct {
		Count *int    `json:"ok_count"`
		Error *string `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, fmt.Errorf("%w: unreadable answer: %w", errOutcomeUnknown, err)
	}
	switch {
	case answer.Error != nil && *answer.Error == "limit":
		return 0, errRunNotStarted
	case answer.Error != nil:
		return 0, fmt.Errorf("%w: %.80q", errRejected, *answer.Error)
	case answer.Count == nil || *answer.Count < 0 || *answer.Count > commands:
		return 0, fmt.Errorf("%w: no possible count in the answer", errOutcomeUnknown)
	}
	return *answer.Count, nil
}
