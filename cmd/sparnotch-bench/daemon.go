package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// exitTimeout is how long a daemon may take to exit before it is killed.
	exitTimeout = 20 * time.Second
	// clockTick is the unit of processor times in /proc.
	clockTick = 10 * time.Millisecond
)

// daemon is a process of the sparnotch program that this command has started.
type daemon struct {
	name            string
	program         string
	args            []string
	internalAddress string // address of the other nodes' connections
	httpAddress     string // address of its HTTP interface
	zone            string
	dataDir         string // directory; empty: it has none
	command         *exec.Cmd
	cpu             time.Duration // of earlier runs
	exited          chan struct{} // closed at the exit of the current run; nil: none
}

// start runs the program; its output is appended to NAME.log in the folder.
func (d *daemon) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.command = exec.Command(d.program, d.args...)
	d.command.Stdout, d.command.Stderr = log, log
	// A node has a fraction of a core, so a parallel garbage collector gains nothing.
	d.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = watchExit(d.command)
	return nil
}

// watchExit waits for a started command in the background; the channel is closed once
// it has exited.
func watchExit(command *exec.Cmd) chan struct{} {
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return exited
}

func (d *daemon) signal(signal syscall.Signal) {
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Signal(signal)
	}
}

// terminate signals the process, waits for its exit, and returns the exit code.
func (d *daemon) terminate(signal syscall.Signal) int {
	if d.exited == nil {
		return 0
	}
	d.signal(signal)
	select {
	case <-d.exited:
	case <-time.After(exitTimeout):
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	d.exited = nil
	state := d.command.ProcessState
	if state == nil {
		return -1
	}
	d.cpu += state.UserTime() + state.SystemTime()
	return state.ExitCode()
}

// peakMemory is the most memory that the process has held, in kilobytes; false when
// that can't be read.
func (d *daemon) peakMemory() (int, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			peak, _ := strconv.Atoi(strings.Fields(value)[0])
			return peak, true
		}
	}
	return 0, false
}

// cpuUsage is the processor time that the process has used in all its runs.
func (d *daemon) cpuUsage() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.command.Process.Pid))
	if err != nil {
		return d.cpu
	}
	// The fields after the program's name, which may contain spaces.
	_, after, _ := strings.Cut(string(data), ") ")
	const userField, systemField = 11, 12
	fields := strings.Fields(after)
	if len(fields) <= systemField {
		return d.cpu
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return d.cpu + time.Duration(user+system)*clockTick
}
