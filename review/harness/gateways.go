package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// gatewayProcess is one entry of the deployment, on the machine that its addresses
// stand for.
type gatewayProcess struct {
	name, zone string
	dir        string
	program    string
	settings   map[string]any
	address    string
	ready      string
	starts     int
	cmd        *exec.Cmd
	done       chan struct{}
}

// Ports are taken from below the range that the system uses for outgoing connections,
// so that an address stays free while the process that listens on it is down.
const (
	firstPort = 12000
	lastPort  = 30000
)

// usedPorts holds the ports that this process has handed out.
var usedPorts sync.Map

func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, used := usedPorts.LoadOrStore(address, true); used {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

func newGateway(dir, program, name, zone string, zones []string, storeAddress string) *gatewayProcess {
	g := &gatewayProcess{name: name, zone: zone, dir: dir, program: program}
	g.settings = map[string]any{
		"name": name, "zone": zone, "zones": zones, "readiness-path": pathReady, "processor-share": 0.4, "peer-key": "entries",
		"store-address": storeAddress,
		"bounds": map[string]any{
			"revocation": "5000ms", "grace": "8s", "broken": "6000ms", "repeat-span": "10s", "repeat-ratio": 0.2, "repeat-slack": 107,
		},
	}
	g.chooseAddresses()
	return g
}

func (g *gatewayProcess) chooseAddresses() {
	g.address, g.ready = freeAddress(), freeAddress()
	g.settings["caller-address"], g.settings["readiness-address"] = g.address, g.ready
	g.settings["metrics-address"], g.settings["peer-address"] = freeAddress(), freeAddress()
}

// hasEnded reports whether the process has ended by itself or by a signal.
func (g *gatewayProcess) hasEnded() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// start starts the process with the command of the deploy file.
func (g *gatewayProcess) start() error {
	g.starts++
	g.settings["first-start"] = g.starts == 1
	encoded, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(g.dir, g.name+".json")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command(g.program, "gateway", "--settings", file)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	cmd, done := g.cmd, make(chan struct{})
	g.done = done
	go func() {
		_ = cmd.Wait() // the exit is seen through done
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (g *gatewayProcess) kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.done
}

func (g *gatewayProcess) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + g.ready + pathReady)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func awaitReady(list []*gatewayProcess, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, g := range list {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s was not ready in time", g.name)
			}
			if g.starts == 1 && g.hasEnded() {
				// Another process has taken one of its ports meanwhile.
				g.chooseAddresses()
				g.starts = 0
				if err := g.start(); err != nil {
					return err
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
