package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// ackNumbers returns the marks that a call sets, with those that they have outdated.
func ackNumbers(call []command) (numbers []int) {
	for _, o := range call {
		numbers = append(numbers, o.acks...)
	}
	return numbers
}

// encodeRequest lays a call out.
func encodeRequest(host string, call []command) []byte {
	var body bytes.Buffer
	body.WriteString(`{"ops":[`)
	for i, o := range call {
		if i > 0 {
			body.WriteByte(',')
		}
		body.Write(o.encoded)
	}
	body.WriteString("]}")
	head := "POST /v1/orders HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(body.Len()) + "\r\n\r\n"
	return append([]byte(head), body.Bytes()...)
}

// parseAnswer returns what an answer says of a call. Whatever can't be read or can't be leaves it uncertain.
func parseAnswer(body []byte, orders int) (taken int, err error) {
	var a struct {
		Count *int    `json:"ok_count"`
		Error *string `json:"error"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("%w: unreadable answer: %w", errOutcomeUnknown, err)
	}
	switch {
	case a.Error != nil && *a.Error == "limit":
		return 0, errRunNotStarted
	case a.Error != nil:
		return 0, fmt.Errorf("%w: %.80q", errRejected, *a.Error)
	case a.Count == nil || *a.Count < 0 || *a.Count > orders:
		return 0, fmt.Errorf("%w: no possible count in the answer", errOutcomeUnknown)
	}
	return *a.Count, nil
}
