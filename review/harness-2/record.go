//go:build review

package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	started time.Time

	mu     sync.Mutex
	file   *os.File
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation writes a line about a broken rule.
func (r *record) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// violations returns how many times a rule was broken.
func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

func sortRows(list []row) {
	slices.SortFunc(list, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
}
