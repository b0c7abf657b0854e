package main

import (
	"os"
	"runtime/pprof"
)

// cpuProfiler writes a processor profile to a file. Without a path it does nothing.
type cpuProfiler struct {
	path string
	file *os.File // nil: no profile is being written
}

// start begins a profile.
func (p *cpuProfiler) start() error {
	if p.path == "" {
		return nil
	}
	file, err := os.Create(p.path)
	if err != nil {
		return err
	}
	p.file = file
	return pprof.StartCPUProfile(file)
}

// stop ends the profile, if there is one, and closes the file.
func (p *cpuProfiler) stop() {
	if p.file != nil {
		pprof.StopCPUProfile()
		p.file.Close()
		p.file = nil
	}
}
