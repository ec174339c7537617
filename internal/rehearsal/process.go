package rehearsal

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"indigousher/internal/testbed/network"
)

// process is a pilot as a process of its own.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// readyWithin is how long a pilot's process may take until it says that it is ready.
const readyWithin = 20 * time.Second

// freeAddress returns an address on which nobody listens.
func freeAddress() (string, error) {
	l, err := network.Listen("")
	if err != nil {
		return "", fmt.Errorf("find an address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startProcess begins a pilot's process on its terms, at the address of the first, and returns when it is ready.
func (s *stage) startProcess(st *pilot, place network.Place) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.settings.Admin == "" {
		var err [2]error
		st.settings.Listen, err[0] = freeAddress()
		st.settings.Admin, err[1] = freeAddress()
		if err := errors.Join(err[:]...); err != nil {
			return err
		}
		s.network.Put(st.settings.Listen, place)
	}
	file := filepath.Join(s.Records, st.name+".hcl")
	if err := os.WriteFile(file, st.settings.Text(), 0o600); err != nil {
		return fmt.Errorf("start %s: %w", st.name, err)
	}
	log, err := os.OpenFile(filepath.Join(s.Records, st.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", st.name, err)
	}
	p := &process{cmd: exec.Command(s.Binary, "pilot", "-f", file), log: log, done: make(chan struct{})}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", st.name, err), log.Close())
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // killed or asked; its log tells
	}()
	st.process = p
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		r, err := client.Get("http://" + st.settings.Admin + "/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("start %s: not ready within %s, see its log", st.name, readyWithin)
}

// stop ends the process, with signal 9 or by asking, and waits for its end.
func (p *process) stop(force bool) {
	sig := syscall.SIGTERM
	if force {
		sig = syscall.SIGKILL
	}
	_ = p.cmd.Process.Signal(sig) // one that has ended can't be
	<-p.done
	_ = p.log.Close()
}
