package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Controllers are the project's own processes.
type Controllers struct {
	world  *World
	root   string // of the repository
	dir    string // temporary
	run    []string
	facts  string
	mu     sync.Mutex
	procs  []*exec.Cmd
	exited []chan struct{}
	cloud  string
}

// runLine reads the program and its arguments from the deploy file.
func runLine(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if match == nil {
		return nil, fmt.Errorf("no run line")
	}
	return strings.Fields(string(match[1])), nil
}

// settingsOf returns the settings of a controller.
func (c *Controllers) settingsOf(i int) string {
	var text strings.Builder
	node := c.world.Nodes[i]
	fmt.Fprintf(&text, "node_name = %q\nlocation = %q\nfront = %q\nback = %q\n\n", node.Name, node.Zone, node.Front, node.Back)
	for k, peer := range c.world.Nodes {
		if k != i {
			fmt.Fprintf(&text, "[[members]]\nnode_name = %q\nlocation = %q\nendpoint = %q\n\n", peer.Name, peer.Zone, peer.Back)
		}
	}
	fmt.Fprintf(&text, "[services]\ncloud = %q\nstate = %q\n\n%s", c.cloud, node.Store, c.facts)
	return text.String()
}

// start starts a controller. It ends when this process does.
func (c *Controllers) start(i int) error {
	path := filepath.Join(c.dir, c.world.Nodes[i].Name+".toml")
	if err := os.WriteFile(path, []byte(c.settingsOf(i)), 0o600); err != nil {
		return err
	}
	args := append(append([]string(nil), c.run...), path)
	process := exec.Command(filepath.Join(c.root, args[0]), args[1:]...)
	process.Dir = c.root
	process.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	log, err := os.OpenFile(filepath.Join(c.dir, c.world.Nodes[i].Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	log.Close()
	exited := make(chan struct{})
	go func() { process.Wait(); close(exited) }()
	c.mu.Lock()
	c.procs[i], c.exited[i] = process, exited
	c.mu.Unlock()
	c.world.Rec.Log("test", "started %s, process %d", c.world.Nodes[i].Name, process.Process.Pid)
	return nil
}

func logLevel() string {
	if level := os.Getenv("CONTROLLER_LOG"); level != "" {
		return level
	}
	return "info"
}

// signal sends a signal to a controller.
func (c *Controllers) signal(i int, sig syscall.Signal) {
	c.mu.Lock()
	process, exited := c.procs[i], c.exited[i]
	c.mu.Unlock()
	c.world.Rec.Log("test", "%s to %s", sig, c.world.Nodes[i].Name)
	process.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-exited
	}
}

// ended reports which controllers ended by themselves.
func (c *Controllers) alive(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.exited[i]:
		return false
	default:
		return c.procs[i] != nil
	}
}

func (c *Controllers) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, process := range c.procs {
		if process != nil {
			process.Process.Signal(syscall.SIGCONT)
			process.Process.Kill()
			<-c.exited[i]
		}
	}
}

// healthy reports whether a controller answers its health check with 200.
func (c *Controllers) healthy(i int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.world.Nodes[i].Front + "/healthz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// freeAddress returns a loopback address that is free now. Its port is below those that outgoing
// connections are given, so that it is still free when a controller starts again.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 15000+rand.Intn(15000))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}
