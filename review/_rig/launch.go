package main

import (
	"os/exec"
	"runtime"
	"syscall"
)

// launcher starts processes that the kernel kills once this process ends, also where it is killed
// itself. The kernel looks at the thread that has started a process, so that one thread starts all.
type launcher struct {
	requests chan launch
}

type launch struct {
	cmd  *exec.Cmd
	done chan error
}

func newLauncher() *launcher {
	l := &launcher{
		requests: make(chan launch),
	}
	go func() {
		runtime.LockOSThread()
		for r := range l.requests {
			r.done <- r.cmd.Start()
		}
	}()
	return l
}

func (l *launcher) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	r := launch{
		cmd:  cmd,
		done: make(chan error, 1),
	}
	l.requests <- r
	return <-r.done
}
