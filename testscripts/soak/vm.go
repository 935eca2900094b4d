package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is one gateway process and the proxies on its connections.
type vm struct {
	name, region, ip string
	gossipSeeds      []string
	storeLink        *link
	frontLink        *link
	settings         string
	log              *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// busy is set while a fault acts on the process, so that faults don't overlap.
	busy bool
}

// startVM starts a VM's gateway process, which the kernel kills if the soak exits.
func (tb *testbed) startVM(v *vm) error {
	cmd := exec.Command(tb.Gateway, "serve", "--platform", "--settings", v.ownSettings())
	cmd.Env = append(os.Environ(), "FUCHSIANOTCH_NODE_FILE="+v.settings)
	cmd.Stdout = v.log
	cmd.Stderr = v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd = cmd
	v.exited = exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		tb.ledger.recordExit(v.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the VM's process, if it was started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// waitExit reports whether the process exits within a duration.
func (v *vm) waitExit(within time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// tryAcquire marks the VM as busy with a fault and reports false if it already is.
func (v *vm) tryAcquire() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy {
		return false
	}
	v.busy = true
	return true
}

// isBusy reports whether a fault acts on the VM.
func (v *vm) isBusy() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.busy
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
}

// peakMB returns the most resident memory that the VM's process has had, in MB; zero if it has
// ended.
func (v *vm) peakMB() (mb int) {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	var kb int
	_, _ = fmt.Sscan(rest, &kb)
	return kb >> 10
}
