package main

import (
	"os"
	"runtime/pprof"
)

// cpuProfiler writes a processor profile while something is measured; without a path
// it does nothing.
type cpuProfiler struct {
	path string
	file *os.File
}

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

func (p *cpuProfiler) stop() {
	if p.file != nil {
		pprof.StopCPUProfile()
		p.file.Close()
		p.file = nil
	}
}
