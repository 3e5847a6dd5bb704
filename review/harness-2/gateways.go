//go:build review

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
	"strings"
	"syscall"
	"time"
)

// gateway is an entry instance that runs as a process of its own.
type gateway struct {
	name, zone      string
	caller, ready   string
	settingsPath    string
	logPath         string
	settings        map[string]any
	process         *exec.Cmd
	exited          chan struct{}
	command         []string
	repositoryRoot  string
	startedAtLeast1 bool
}

// Ports for the gateways. They are below those that the kernel gives to outgoing
// connections, so that none of these takes a port before its gateway listens.
const (
	firstPort = 20000
	portCount = 10000
)

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	var lastErr error
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			lastErr = err
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", lastErr
}

// newGateway writes the settings as the template of the deploy file has them.
func newGateway(root, dir, name, zone string, zones []string, storeAddress string) (*gateway, error) {
	g := &gateway{
		name: name, zone: zone, repositoryRoot: root, exited: make(chan struct{}),
		settingsPath: filepath.Join(dir, name+".json"), logPath: filepath.Join(dir, name+".log"),
		command: []string{filepath.Join(root, "target", "hibiscuspulley"), "gateway", "--settings"},
	}
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	g.caller, g.ready = addresses[0], addresses[1]
	g.settings = map[string]any{
		"name": name, "zone": zone, "zones": zones,
		"caller-address": g.caller, "readiness-address": g.ready, "readiness-path": "/hibiscuspulley/readiness",
		"metrics-address": addresses[2], "peer-address": addresses[3], "processor-share": 0.4, "peer-key": "entries",
		"store-address": storeAddress, "first-start": true,
		"limits": map[string]any{"memory-mb": 284, "descriptors": 4100},
		"bounds": map[string]any{
			"revocation": "5000ms", "grace": "8s", "broken": "6000ms", "drain": "2000ms",
			"repeat-span": "10s", "repeat-ratio": 0.2, "repeat-slack": 107,
		},
	}
	return g, nil
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.settings["first-start"] = !g.startedAtLeast1
	g.startedAtLeast1 = true
	encoded, err := json.MarshalIndent(g.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.settingsPath, encoded, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(g.command[0], append(g.command[1:], g.settingsPath)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = g.repositoryRoot, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.process, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) error { return g.process.Process.Signal(s) }

// stop ends the process.
func (g *gateway) stop() {
	if g.process == nil {
		return
	}
	_ = g.process.Process.Kill()
	<-g.exited
}

// isReady asks the readiness address as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + g.ready + "/hibiscuspulley/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// logTail returns the lines of the process's log that hold one of the texts.
func (g *gateway) logLines(texts ...string) []string {
	content, err := os.ReadFile(g.logPath)
	if err != nil {
		return []string{fmt.Sprint(err)}
	}
	var lines []string
	for line := range strings.SplitSeq(string(content), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}
