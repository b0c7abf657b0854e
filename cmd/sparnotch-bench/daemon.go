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
	// exitTimeout limits the time from a signal to a daemon's exit. After it the daemon is
	// killed.
	exitTimeout = 20 * time.Second
	// clockTick is the unit of the processor times in /proc.
	clockTick = 10 * time.Millisecond
)

// daemon is a node's process of the sparnotch program, which can be started repeatedly.
type daemon struct {
	name            string
	program         string // path
	args            []string
	internalAddress string // listen address for the connections of other nodes
	httpAddress     string // listen address of the HTTP interface
	zone            string
	dataDir         string // data directory; empty: the node has no storage
	settingsPath    string // settings file, which holds the seeds

	mu      sync.Mutex    // guards the fields below
	command *exec.Cmd     // latest run of the program; nil: never started
	cpu     time.Duration // processor time of the finished runs
	exited  chan struct{} // closed when the current run exits; nil: there is no current run
}

// start runs the program. The output is appended to the file NAME.log in the folder.
func (d *daemon) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(d.program, d.args...)
	command.Stdout, command.Stderr = log, log
	// In a real deployment a node has a fraction of a core, so a parallel garbage
	// collector gains nothing.
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.command, d.exited = command, watchExit(command)
	return nil
}

// run returns the command of the latest run, and the channel that is closed when it exits.
// Each is nil if there is none.
func (d *daemon) run() (*exec.Cmd, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command, d.exited
}

// watchExit waits for a started command in the background. It returns a channel that is
// closed once the command has exited.
func watchExit(command *exec.Cmd) chan struct{} {
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return exited
}

// signal sends a signal to the process, if it was ever started.
func (d *daemon) signal(signal syscall.Signal) {
	if command, _ := d.run(); command != nil {
		_ = command.Process.Signal(signal)
	}
}

// terminate sends a signal to the process, waits for its exit, and returns the exit code:
// -1 when a signal ended it, and 0 when it wasn't running. It kills the process after
// exitTimeout.
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

// peakMemory returns the peak memory of the process in kilobytes, or false when it can't
// be read.
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

// cpuUsage returns the processor time that the process has used in all its runs.
func (d *daemon) cpuUsage() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.command.Process.Pid))
	if err != nil {
		return d.cpu
	}
	// The program's name may contain spaces, so only the fields after it are split.
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
