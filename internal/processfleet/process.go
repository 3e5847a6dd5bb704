package processfleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os/exec"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// startLimit bounds the wait for a process to tell its addresses.
const startLimit = 20 * time.Second

// Process is one running process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu    sync.Mutex
	lines bytes.Buffer
	seen  chan struct{}
}

// start runs a program and takes in what it prints.
func start(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{}), seen: make(chan struct{})}
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
		p.lines.Write(scanner.Bytes())
		p.lines.WriteByte('\n')
		close(p.seen)
		p.seen = make(chan struct{})
		p.mu.Unlock()
	}
}

// Output returns what the process has printed.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines.String()
}

// WaitFor waits until the process has printed something that matches and
// returns the match's groups.
func (p *Process) WaitFor(ctx context.Context, pattern *regexp.Regexp) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		p.mu.Lock()
		match := pattern.FindStringSubmatch(p.lines.String())
		seen := p.seen
		p.mu.Unlock()
		if match != nil {
			return match, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Errorf("%s did not print %s:\n%s", p.Name, pattern, p.Output())
		case <-p.done:
			return nil, errors.Errorf("%s ended before it printed %s:\n%s", p.Name, pattern, p.Output())
		case <-seen:
		}
	}
}

// PID returns the process's identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to end in order.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Wait waits for the process's end and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
