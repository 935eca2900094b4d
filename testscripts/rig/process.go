package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	listenWithin = 20 * time.Second
	// maxLogLines bounds what is kept of one process's log.
	maxLogLines = 2000
)

// Process is one process that this rig started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// Listening holds the attributes of the line that told the addresses.
	Listening Listening

	mu   sync.Mutex
	log  []string
	done chan struct{}
	err  error
}

// Listening is the log line in which a process tells where it listens.
type Listening struct {
	Message  string `json:"msg"`
	Addr     string `json:"addr"`
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

// start runs a binary and waits until it listens.
func start(name, binary string, args ...string) (*Process, error) {
	cmd := exec.Command(binary, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{
		Name: name,
		cmd:  cmd,
		done: make(chan struct{}),
	}
	listening := make(chan Listening, 1)
	go p.read(stderr, listening)
	select {
	case p.Listening = <-listening:
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("%s ended before it listened: %w\n%s", name, p.err, p.Log())
	case <-time.After(listenWithin):
		p.Kill()
		return nil, fmt.Errorf("%s did not listen in time\n%s", name, p.Log())
	}
}

func (p *Process) read(stderr io.Reader, listening chan<- Listening) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.keep(lines.Text())
		var l Listening
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Message == "listening" {
			select {
			case listening <- l:
			default:
			}
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

func (p *Process) keep(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.log) == maxLogLines {
		p.log = p.log[1:]
	}
	p.log = append(p.log, line)
}

// Log returns the last lines that the process wrote.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// PID is the process id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process, if it has not ended.
func (p *Process) Signal(s syscall.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process without its knowing; Thaw lets it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Stop asks for a graceful stop and waits until the process has ended. It
// gives the error of an exit status other than 0.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	<-p.done
	return p.err
}
