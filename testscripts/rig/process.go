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
	listenTimeout = 20 * time.Second
	maxLogLines   = 2000 // per process
)

// Process is a child process with the tail of its log.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// ListenAddrs holds the addresses that the process logged at startup.
	ListenAddrs Listening

	mu   sync.Mutex
	log  []string
	done chan struct{}
	err  error
}

// Listening is the log line in which a process reports its listen addresses.
type Listening struct {
	Message  string `json:"msg"`
	Addr     string `json:"addr"`
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

// start runs a binary and waits until it logs its listen addresses.
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
	go p.readLog(stderr, listening)
	select {
	case p.ListenAddrs = <-listening:
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("%s exited before it logged its listen address: %w\n%s", name, p.err, p.Log())
	case <-time.After(listenTimeout):
		p.Kill()
		return nil, fmt.Errorf("%s logged no listen address within %s\n%s", name, listenTimeout, p.Log())
	}
}

func (p *Process) readLog(stderr io.Reader, listening chan<- Listening) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.appendLog(lines.Text())
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

func (p *Process) appendLog(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.log) == maxLogLines {
		p.log = p.log[1:]
	}
	p.log = append(p.log, line)
}

// Log returns the last maxLogLines lines that the process wrote to stderr.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Alive reports whether the process is still running.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process if it is still running.
func (p *Process) Signal(s syscall.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Suspend sends SIGSTOP; the process keeps its connections and state.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits until the process has exited. It returns an error
// for a non-zero exit status.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	<-p.done
	return p.err
}
