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
	done chan struct{} // closed when the process has ended
}

const (
	// readyWithin is how long a pilot's process may take until it says that it is ready.
	readyWithin = 20 * time.Second
	// readyTimeout is how long an answer to whether it is ready is waited for.
	readyTimeout = time.Second
	// readyPollEvery is the pause between two such questions.
	readyPollEvery = 5 * time.Millisecond
	// fileMode is the mode of settings and log files.
	fileMode = 0o600
)

// freeAddress returns an address on which nobody listens.
func freeAddress() (string, error) {
	listener, err := network.Listen("")
	if err != nil {
		return "", fmt.Errorf("find an address: %w", err)
	}
	address := listener.Addr().String()
	_ = listener.Close() // if it stays open the process says so when it listens there
	return address, nil
}

// startProcess begins a pilot's process, at the address of its first one, and returns when it is ready.
func (s *stage) startProcess(p *pilot, place network.Place) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settings.Admin == "" {
		if err := s.assignAddresses(p, place); err != nil {
			return err
		}
	}
	started, err := s.launch(p)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.process = started
	if !awaitReady(p.settings.Admin) {
		return fmt.Errorf("start %s: not ready within %s, see its log", p.name, readyWithin)
	}
	return nil
}

// assignAddresses gives a pilot the addresses that all its processes use.
func (s *stage) assignAddresses(p *pilot, place network.Place) error {
	listen, listenErr := freeAddress()
	admin, adminErr := freeAddress()
	p.settings.Listen = listen
	p.settings.Admin = admin
	if err := errors.Join(listenErr, adminErr); err != nil {
		return err
	}
	s.network.Put(listen, place)
	return nil
}

// launch writes a pilot's settings and begins its process.
func (s *stage) launch(p *pilot) (*process, error) {
	settings := filepath.Join(s.Records, p.name+".hcl")
	if err := os.WriteFile(settings, p.settings.Text(), fileMode); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.Records, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	started := &process{cmd: exec.Command(s.Binary, "pilot", "-f", settings), log: log, done: make(chan struct{})}
	started.cmd.Stderr = log
	if err := started.cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	go func() { // ends with the process
		defer close(started.done)
		_ = started.cmd.Wait() // it was killed or asked to end; its log tells more
	}()
	return started, nil
}

// awaitReady waits until a pilot says at its admin address that it is ready, and returns whether it did in time.
func awaitReady(admin string) bool {
	client := http.Client{Timeout: readyTimeout}
	end := time.Now().Add(readyWithin)
	for time.Now().Before(end) {
		if isReady(&client, admin) {
			return true
		}
		time.Sleep(readyPollEvery)
	}
	return false
}

func isReady(client *http.Client, admin string) bool {
	response, err := client.Get("http://" + admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// stop ends the process, by SIGKILL or by SIGTERM, and waits for its end.
func (p *process) stop(kill bool) {
	signal := syscall.SIGTERM
	if kill {
		signal = syscall.SIGKILL
	}
	_ = p.cmd.Process.Signal(signal) // one that has ended can't be signalled
	<-p.done
	_ = p.log.Close() // nothing is written to it any more
}
