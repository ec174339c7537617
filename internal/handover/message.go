package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// protocolVersion is the version of the messages. Sides of different versions do not hand over.
const protocolVersion = 1

// The steps of a handover, each a message of one side.
const (
	stepRequest = "take"    // successor: it wants to take over
	stepOffer   = "offer"   // predecessor: the listeners come along
	stepBusy    = "busy"    // predecessor: it is handing over to another process
	stepReady   = "ready"   // successor: it can start
	stepGo      = "go"      // predecessor: it has stopped
	stepServing = "serving" // successor: it serves
)

// StepTimeout is how long a side waits for each step of the other, and for its own message to go out.
const StepTimeout = 20 * time.Second

// maxMessageBytes bounds a message, and the files that come along, as they are in its control data.
const maxMessageBytes = 4096

// message is one packet on the socket, as JSON.
type message struct {
	Version int      `json:"Version"`
	Step    string   `json:"Step"`
	Names   []string `json:"Names,omitempty"` // of the listeners that come along, in their order
}

// send sends a message, with files if there are any.
func send(conn *net.UnixConn, m message, files []*os.File) error {
	m.Version = protocolVersion
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	var descriptors []int
	for _, file := range files {
		descriptors = append(descriptors, int(file.Fd()))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(StepTimeout)) // fails only if the write below does
	if _, _, err := conn.WriteMsgUnix(text, syscall.UnixRights(descriptors...), nil); err != nil {
		return fmt.Errorf("say %s: %w", m.Step, err)
	}
	return nil
}

// expect waits for a message of a step that brings no files; those that come all the same are closed.
func expect(conn *net.UnixConn, step string, timeout time.Duration) error {
	_, files, err := receive(conn, step, timeout)
	closeFiles(files)
	return err
}

// receive waits for the next message, which is to be of a step, and returns it with the files that came along. With an
// error there are none: they are closed.
func receive(conn *net.UnixConn, step string, timeout time.Duration) (message, []*os.File, error) {
	p, err := readPacket(conn, step, timeout)
	if err != nil {
		return message{}, nil, err
	}
	files, err := p.files()
	var m message
	if err == nil {
		m, err = p.message(step)
	}
	if err != nil {
		closeFiles(files)
		return m, nil, err
	}
	return m, files, nil
}

// packet is a message as it came.
type packet struct {
	text    []byte
	control []byte // holds the descriptors of the files
	flags   int    // of the system
}

// readPacket waits for a packet. An empty one is the end of the connection.
func readPacket(conn *net.UnixConn, step string, timeout time.Duration) (packet, error) {
	text := make([]byte, maxMessageBytes)
	control := make([]byte, maxMessageBytes)
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only if the read below does
	n, controlLen, flags, _, err := conn.ReadMsgUnix(text, control)
	if err != nil || n == 0 {
		return packet{}, errors.Join(fmt.Errorf("wait for %s: %w", step, ErrBroken), err)
	}
	return packet{text: text[:n], control: control[:controlLen], flags: flags}, nil
}

// files returns the files that came along. They are the caller's to close, also with an error.
func (p *packet) files() ([]*os.File, error) {
	var files []*os.File
	controls, err := syscall.ParseSocketControlMessage(p.control)
	for i := range controls {
		descriptors, rightsErr := syscall.ParseUnixRights(&controls[i])
		err = errors.Join(err, rightsErr)
		for _, fd := range descriptors {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	if p.flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = errors.Join(err, fmt.Errorf("longer than %d bytes: %w", maxMessageBytes, ErrBroken))
	}
	return files, err
}

// message parses the text, which is to be of this version and of a step.
func (p *packet) message(step string) (message, error) {
	var m message
	if err := json.Unmarshal(p.text, &m); err != nil {
		return m, err
	}
	switch {
	case m.Version != protocolVersion:
		return m, fmt.Errorf("version %d, %d is spoken: %w", m.Version, protocolVersion, ErrBroken)
	case m.Step == stepBusy:
		return m, ErrBusy
	case m.Step != step:
		return m, fmt.Errorf("%q where %q was due: %w", m.Step, step, ErrBroken)
	}
	return m, nil
}

func closeFiles(files []*os.File) {
	for _, file := range files {
		_ = file.Close() // a handle of this process; the listener itself is not touched
	}
}
