//go:build review

// Command review-2 plays the cases of the second review that are scripts. Its argument
// is the number of the case, and the working directory is the repository's root.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(root, dir string) (*world, error){
	"6":  preemptedDuringShutdown,
	"7":  recordOfAnotherWriter,
	"8":  oddRecordAtALeadersAddress,
	"10": largeRecords,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1]))
}

func play(number string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w, err := cases[number](root, filepath.Join(root, "review", number))
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if w != nil {
			w.record.add("the case could not run: %v", err)
		}
		return exitFailed
	}
	if n := w.record.violations(); n > 0 {
		w.record.add("result: the rule was broken %d times", n)
		fmt.Println("broken:", n)
		return exitBroken
	}
	w.record.add("result: the rule held")
	fmt.Println("held")
	return exitHeld
}
