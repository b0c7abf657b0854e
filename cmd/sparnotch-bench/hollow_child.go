package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
)

// Roles of the processes of a hollow deployment.
const (
	roleStorage = "store"
	roleGateway = "front"
	roleAgent   = "side"
	roleClient  = "caller"
)

// childProcess is one process of a hollow deployment. It runs this program with the flag
// -part, and answers each line on its standard input with a processReport.
type childProcess struct {
	role         string
	first, count int // index of its first node, and its number of nodes
	command      *exec.Cmd
	stdin        io.WriteCloser
	stdout       *bufio.Reader
	exited       chan struct{} // closed when the process exits
}

// start starts the process. It is killed when this process ends.
func (p *childProcess) start(config *hollowConfig) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	p.command = exec.Command(own, "hollow", "-part", p.role, "-first", fmt.Sprint(p.first), "-count", fmt.Sprint(p.count), "-setup", string(text))
	// On one processor, the measured cost of a process doesn't depend on parallelism.
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stderr = os.Stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.stdin, err = p.command.StdinPipe(); err != nil {
		return err
	}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	p.stdout = bufio.NewReaderSize(stdout, 1<<20)
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = watchExit(p.command)
	return nil
}

// request sends a line to the process and returns the report with which it answers.
func (p *childProcess) request(line string) (*processReport, error) {
	if _, err := io.WriteString(p.stdin, line+"\n"); err != nil {
		return nil, fmt.Errorf("the request to a %s process could not be sent: %w", p.role, err)
	}
	data, err := p.stdout.ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("the report of a %s process could not be read: %w", p.role, err)
	}
	report := &processReport{}
	return report, json.Unmarshal(data, report)
}

// kill kills the process and waits for its exit.
func (p *childProcess) kill() {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}
