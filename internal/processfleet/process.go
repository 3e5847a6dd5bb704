package processfleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os/exec"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// startTimeout bounds the wait for a process to print its addresses.
const startTimeout = 20 * time.Second

// Process is a running process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu      sync.Mutex
	output  bytes.Buffer
	updated chan struct{}
}

// start starts a program and captures its standard output and error. descriptors limits
// its open files and connections unless it is 0.
func start(name string, descriptors int, program string, args ...string) (*Process, error) {
	if descriptors > 0 {
		limited := "ulimit -n " + strconv.Itoa(descriptors) + ` && exec "$0" "$@"`
		program, args = "/bin/sh", append([]string{"-c", limited, program}, args...)
	}
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{}), updated: make(chan struct{})}
	reader, writer := io.Pipe()
	p.cmd.Stdout = writer
	p.cmd.Stderr = writer
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go p.scan(reader)
	go func() {
		p.err = p.cmd.Wait()
		_ = writer.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *Process) scan(r io.Reader) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		p.mu.Lock()
		p.output.Write(scanner.Bytes())
		p.output.WriteByte('\n')
		close(p.updated)
		p.updated = make(chan struct{})
		p.mu.Unlock()
	}
}

// Output returns what the process has printed.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// WaitForOutput waits until the process's output matches the pattern and returns
// the submatches.
func (p *Process) WaitForOutput(ctx context.Context, pattern *regexp.Regexp) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		match := pattern.FindStringSubmatch(p.output.String())
		updated := p.updated
		p.mu.Unlock()
		if match != nil {
			return match, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Errorf("%s did not print a match for %s in time:\n%s", p.Name, pattern, p.Output())
		case <-p.done:
			return nil, errors.Errorf("%s exited before it printed a match for %s:\n%s", p.Name, pattern, p.Output())
		case <-updated:
		}
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze suspends the process until Thaw.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts a graceful shutdown.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Wait waits until the process exits and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
