package wire

import (
	"errors"
	"fmt"
)

// Version is the protocol version of this package. Hello and Welcome messages contain it.
const Version = 1

// Errors of encoding, decoding and framing. They are permanent: repeating the operation cannot succeed.
var (
	ErrTooLarge  = errors.New("message body exceeds the size limit")
	ErrSequence  = errors.New("frame repeated, missing or out of order")
	ErrTruncated = errors.New("message body is truncated")
	ErrTrailing  = errors.New("unexpected bytes after the message")
	ErrType      = errors.New("unexpected message type")
	ErrValue     = errors.New("value out of range")
)

// Message is implemented by all message types of the protocol.
type Message interface {
	messageType() Type
	encode(*encoder)
	decode(*decoder)
}

// Type is the message type in a frame header.
type Type byte

// The message types. The numbers are part of the protocol.
const (
	typeHello       Type = 1
	typeWelcome     Type = 2
	typeRefuse      Type = 3
	typeHeartbeat   Type = 4
	typeLoadReport  Type = 5
	typeDone        Type = 6
	typeCommands    Type = 7
	typeRedirect    Type = 8
	typeBye         Type = 9
	typeListRequest Type = 10
	typeList        Type = 11
	typeRequest     Type = 12
	typeResponse    Type = 13
	typeProbe       Type = 14
	typePace        Type = 15
	typeSlices      Type = 16
)

// newMessage returns an empty message of the given type, or nil if the type is unknown.
func newMessage(t Type) Message {
	switch t {
	case typeHello:
		return &Hello{}
	case typeWelcome:
		return &Welcome{}
	case typeRefuse:
		return &Refuse{}
	case typeHeartbeat:
		return &Heartbeat{}
	case typeLoadReport:
		return &LoadReport{}
	case typeDone:
		return &Done{}
	case typeCommands:
		return &Commands{}
	case typeRedirect:
		return &Redirect{}
	case typeBye:
		return &Bye{}
	case typeListRequest:
		return &ListRequest{}
	case typeList:
		return &List{}
	case typeRequest:
		return &Request{}
	case typeResponse:
		return &Response{}
	case typeProbe:
		return &Probe{}
	case typePace:
		return &Pace{}
	case typeSlices:
		return &Slices{}
	}
	return nil
}

// Decode decodes a frame body into a new message of the given type. The message does not retain body.
func Decode(t Type, body []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, fmt.Errorf("type %d: %w", t, ErrType)
	}
	if err := DecodeBody(m, body); err != nil {
		return nil, fmt.Errorf("%T: %w", m, err)
	}
	return m, nil
}

// EncodeBody encodes a message without a frame, for storage.
func EncodeBody(m Message) ([]byte, error) {
	var e encoder
	m.encode(&e)
	if len(e.b) > MaxFrame {
		return nil, fmt.Errorf("%T of %d bytes: %w", m, len(e.b), ErrTooLarge)
	}
	return e.b, nil
}

// DecodeBody decodes a body from EncodeBody into an existing message. After an error the message may be incomplete.
func DecodeBody(into Message, body []byte) error {
	d := decoder{b: body}
	into.decode(&d)
	if d.err == nil && len(d.b) > 0 {
		return ErrTrailing
	}
	return d.err
}
