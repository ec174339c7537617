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

// protocolVersion is the version of the messages. Processes with different versions can't hand over to each other.
const protocolVersion = 1

// The steps of a handover. Each is a message of the successor or the predecessor.
const (
	stepRequest = "take"    // successor: it requests to take over
	stepOffer   = "offer"   // predecessor: the message carries the listeners
	stepBusy    = "busy"    // predecessor: it is handing over to another process
	stepReady   = "ready"   // successor: it is ready to start its controller
	stepGo      = "go"      // predecessor: its controller has stopped
	stepServing = "serving" // successor: its controller runs
)

// StepTimeout limits the wait for each message of the other process, and the time to send a message.
const StepTimeout = 20 * time.Second

// maxMessageBytes is the maximum size of a message, and also of its control data, which holds the file descriptors.
const maxMessageBytes = 4096

// message is the content of one packet on the socket, which is encoded as JSON.
type message struct {
	Version int      `json:"Version"`
	Step    string   `json:"Step"`
	Names   []string `json:"Names,omitempty"` // names of the attached listeners, in the order of their files
}

// send sends a message with files attached, if there are any.
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
	_ = conn.SetWriteDeadline(time.Now().Add(StepTimeout)) // if this fails, so does the write below
	if _, _, err := conn.WriteMsgUnix(text, syscall.UnixRights(descriptors...), nil); err != nil {
		return fmt.Errorf("send message %q: %w", m.Step, err)
	}
	return nil
}

// expect waits for the message of a step without files. It closes any files that are attached.
func expect(conn *net.UnixConn, step string, timeout time.Duration) error {
	_, files, err := receive(conn, step, timeout)
	closeFiles(files)
	return err
}

// receive waits for the next message, which must be of the given step, and returns it with the attached files. On an
// error it closes the files and returns none.
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

// packet is a received message before decoding.
type packet struct {
	text    []byte
	control []byte // control data, which holds the file descriptors
	flags   int    // flags of recvmsg
}

// readPacket waits for a packet of the given step. An empty packet means that the connection was closed, which is an
// error.
func readPacket(conn *net.UnixConn, step string, timeout time.Duration) (packet, error) {
	text := make([]byte, maxMessageBytes)
	control := make([]byte, maxMessageBytes)
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // if this fails, so does the read below
	n, controlLen, flags, _, err := conn.ReadMsgUnix(text, control)
	if err != nil || n == 0 {
		return packet{}, errors.Join(fmt.Errorf("receive message %q: %w", step, ErrConnection), err)
	}
	return packet{text: text[:n], control: control[:controlLen], flags: flags}, nil
}

// files returns the attached files. The caller must close them, even if there is an error.
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
		err = errors.Join(err, fmt.Errorf("message or control data longer than %d bytes: %w", maxMessageBytes, ErrConnection))
	}
	return files, err
}

// message decodes the text, which must be of this protocol version and of the given step.
func (p *packet) message(step string) (message, error) {
	var m message
	if err := json.Unmarshal(p.text, &m); err != nil {
		return m, err
	}
	switch {
	case m.Version != protocolVersion:
		return m, fmt.Errorf("message has protocol version %d instead of %d: %w", m.Version, protocolVersion, ErrConnection)
	case m.Step == stepBusy:
		return m, ErrBusy
	case m.Step != step:
		return m, fmt.Errorf("received message %q instead of %q: %w", m.Step, step, ErrConnection)
	}
	return m, nil
}

func closeFiles(files []*os.File) {
	for _, file := range files {
		_ = file.Close() // closes only this descriptor; the listener stays open
	}
}
