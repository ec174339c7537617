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

// process is a pilot that runs as a separate process.
type process struct {
	cmd  *exec.Cmd
	log  *os.File      // receives the process's standard error
	done chan struct{} // closed when the process has exited
}

const (
	// readyWithin is the time within which a pilot's process must become ready.
	readyWithin = 20 * time.Second
	// readyTimeout is the timeout of one readiness request.
	readyTimeout = time.Second
	// readyPollEvery is the pause between two readiness requests.
	readyPollEvery = 5 * time.Millisecond
	// fileMode is the mode of a pilot's settings and log files.
	fileMode = 0o600
)

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := network.Listen("")
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	address := listener.Addr().String()
	_ = listener.Close() // if this fails, the pilot's process fails to listen and reports that
	return address, nil
}

// startProcess starts a pilot's process, at the same addresses each time, and returns when it is ready.
func (s *environment) startProcess(p *pilot, place network.Place) error {
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
		return fmt.Errorf("start %s: not ready within %s, see its log file", p.name, readyWithin)
	}
	return nil
}

// assignAddresses chooses the listen and admin addresses that all processes of a pilot use.
func (s *environment) assignAddresses(p *pilot, place network.Place) error {
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

// launch writes a pilot's settings file and starts its process. It does not wait until the process is ready.
func (s *environment) launch(p *pilot) (*process, error) {
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
	go func() { // returns when the process exits
		defer close(started.done)
		_ = started.cmd.Wait() // stopped on purpose, or the cause is in its log file
	}()
	return started, nil
}

// awaitReady polls a pilot's admin address until the pilot is ready, and returns whether it was within readyWithin.
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
	_ = response.Body.Close() // only the status code is used
	return response.StatusCode == http.StatusOK
}

// stop sends the process SIGKILL if kill is set, SIGTERM otherwise, and waits until it has exited.
func (p *process) stop(kill bool) {
	signal := syscall.SIGTERM
	if kill {
		signal = syscall.SIGKILL
	}
	_ = p.cmd.Process.Signal(signal) // fails only if the process has already exited
	<-p.done
	_ = p.log.Close() // the process, its only writer, has exited
}
