package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
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

	mu      sync.Mutex // guards the rest
	command *exec.Cmd
	cpu     time.Duration // of earlier runs
	exited  chan struct{} // closed at the exit of the current run; nil: none
}

// start runs the program; its output is appended to NAME.log in the folder.
func (d *daemon) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(d.program, d.args...)
	command.Stdout, command.Stderr = log, log
	// A node has a fraction of a core, so a parallel garbage collector gains nothing.
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.command, d.exited = command, watchExit(command)
	return nil
}

// run returns the current run's command and the channel of its exit, nil where there is
// none.
func (d *daemon) run() (*exec.Cmd, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command, d.exited
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
	if command, _ := d.run(); command != nil {
		_ = command.Process.Signal(signal)
	}
}

// terminate signals the process, waits for its exit, and returns the exit code.
func (d *daemon) terminate(signal syscall.Signal) int {
	command, exited := d.run()
	if exited == nil {
		return 0
	}
	_ = command.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(exitTimeout):
		_ = command.Process.Kill()
		<-exited
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exited == exited {
		d.exited = nil
	}
	state := command.ProcessState
	if state == nil {
		return -1
	}
	d.cpu += state.UserTime() + state.SystemTime()
	return state.ExitCode()
}

// peakMemory is the most memory that the process has held, in kilobytes; false when
// that can't be read.
func (d *daemon) peakMemory() (int, bool) {
	command, _ := d.run()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
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
	d.mu.Lock()
	defer d.mu.Unlock()
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
