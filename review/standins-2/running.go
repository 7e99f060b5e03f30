package main

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// processes are the controllers that run now, so that none outlives this program.
type processes struct {
	mu  sync.Mutex
	all map[*os.Process]bool
}

var running = processes{all: map[*os.Process]bool{}}

func (p *processes) add(process *os.Process) { p.mu.Lock(); p.all[process] = true; p.mu.Unlock() }

func (p *processes) remove(process *os.Process) { p.mu.Lock(); delete(p.all, process); p.mu.Unlock() }

// killAll kills the controllers and waits until they have ended, for three seconds at most.
func (p *processes) killAll() {
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		left := len(p.all)
		for process := range p.all {
			process.Kill()
		}
		p.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// endOnSignal ends the controllers when this program is told to end.
func endOnSignal(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	running.killAll()
	os.RemoveAll(dir)
	os.Exit(2)
}
