package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitFailed)
	}
	cases := map[string]func(*run) (bool, error){
		"power":   powerLoss,
		"tenants": lastTenant,
		"cut":     cutReplica,
		"cold":    coldReplica,
	}
	f, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(execute(os.Args[2], f))
}
