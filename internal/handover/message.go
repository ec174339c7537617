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

// The steps, each a line of JSON: the new one asks, the old one offers listeners, the new one is ready, the old one has
// stopped and lets it go, the new one serves.
const (
	stepRequest     = "take"
	stepOffer       = "offer"
	stepBusy        = "busy"
	stepReady       = "ready"
	stepGo          = "go"
	stepServing     = "serving"
	protocolVersion = 1
)

const maxMessageBytes = 4096

type message struct {
	Version int
	Step    string
	Names   []string `json:",omitempty"` // of the listeners that come along
}

func send(c *net.UnixConn, m message, files []*os.File) error {
	m.Version = protocolVersion
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	var fds []int
	for _, f := range files {
		fds = append(fds, int(f.Fd()))
	}
	_ = c.SetWriteDeadline(time.Now().Add(Within))
	if _, _, err := c.WriteMsgUnix(b, syscall.UnixRights(fds...), nil); err != nil {
		return fmt.Errorf("say %s: %w", m.Step, err)
	}
	return nil
}

// expect waits for a message of a step that brings no files; those that come all the same are closed.
func expect(c *net.UnixConn, step string, within time.Duration) error {
	_, files, err := receive(c, step, within)
	closeFiles(files)
	return err
}

// receive reads the next message, which is to be of a step, with the files that come along.
func receive(c *net.UnixConn, step string, within time.Duration) (message, []*os.File, error) {
	b, oob := make([]byte, maxMessageBytes), make([]byte, maxMessageBytes)
	_ = c.SetReadDeadline(time.Now().Add(within))
	n, on, flags, _, err := c.ReadMsgUnix(b, oob)
	if err != nil || n == 0 {
		return message{}, nil, errors.Join(fmt.Errorf("wait for %s: %w", step, ErrBroken), err)
	}
	var files []*os.File
	controls, err := syscall.ParseSocketControlMessage(oob[:on])
	for i := range controls {
		fds, ferr := syscall.ParseUnixRights(&controls[i])
		err = errors.Join(err, ferr)
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	var m message
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = errors.Join(err, fmt.Errorf("longer than %d bytes: %w", maxMessageBytes, ErrBroken))
	}
	if err == nil {
		err = json.Unmarshal(b[:n], &m)
	}
	switch {
	case err != nil:
	case m.Version != protocolVersion:
		err = fmt.Errorf("version %d, %d is spoken: %w", m.Version, protocolVersion, ErrBroken)
	case m.Step == stepBusy:
		err = ErrBusy
	case m.Step != step:
		err = fmt.Errorf("%q where %q was due: %w", m.Step, step, ErrBroken)
	}
	if err != nil {
		closeFiles(files)
		return m, nil, err
	}
	return m, files, nil
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}
