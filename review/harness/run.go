package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRun is how long a case may take at most.
const maxRun = 115 * time.Second

// run is one run of a case.
type run struct {
	rec     *recorder
	store   *store
	trouble bool
	dir     string
	program string
	list    []*gatewayProcess
}

// execute runs a case and returns its exit code. It ends all processes that the
// case has started.
func execute(folder string, f func(*run) (bool, error)) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are in", dir)
	}
	r := &run{rec: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: filepath.Join("target", "hibiscuspulley")}
	defer r.killAll()
	r.store = newStore(rec)
	if err := r.store.listen(); err != nil {
		rec.sayf("could not run: %v", err)
		return exitFailed
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := f(r)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			rec.sayf("could not run: %v", res.err)
			return exitFailed
		case res.broken:
			rec.sayf("result: the rule was broken")
			return exitBroken
		}
		rec.sayf("result: the rule held")
		return exitHeld
	case <-time.After(maxRun):
		rec.sayf("could not run: it took too long")
	case <-signals:
		rec.sayf("could not run: interrupted")
	}
	return exitFailed
}

// addGateways adds entries of the zone to the run.
func (r *run) addGateways(zone string, zones []string, n int) {
	for i := range n {
		name := fmt.Sprintf("frontend-%s-%d", zone, i+1)
		r.list = append(r.list, newGateway(r.dir, r.program, name, zone, zones, r.store.address))
	}
}

func (r *run) startAll() error {
	for _, g := range r.list {
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) killAll() {
	for _, g := range r.list {
		g.kill()
	}
}
