package settings

import (
	"bytes"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"github.com/hibiscuspulley/hibiscuspulley/internal/findings"
)

// reader holds a settings file's text and what was found in it.
type reader struct {
	file  string
	text  []byte
	found findings.List
}

// note adds a finding at a byte offset.
func (r *reader) note(offset int, message, remedy string) {
	line, column := r.position(offset)
	r.found = append(r.found, findings.Finding{
		File: r.file, Line: line, Column: column, Message: message, Remedy: remedy,
	})
}

func (r *reader) position(offset int) (line, column int) {
	before := r.text[:min(offset, len(r.text))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

var syntaxPlace = regexp.MustCompile(`line (\d+), column (\d+)`)

// noteSyntax adds the parser's error as a finding.
func (r *reader) noteSyntax(err error) {
	f := findings.Finding{
		File: r.file, Line: 1, Column: 1,
		Message: "the file is not JSON with comments: " + err.Error(),
		Remedy:  "correct the text at this place",
	}
	if place := syntaxPlace.FindStringSubmatch(err.Error()); place != nil {
		f.Line, _ = strconv.Atoi(place[1])
		f.Column, _ = strconv.Atoi(place[2])
	}
	r.found = append(r.found, f)
}

func (r *reader) parse() (hujson.Value, bool) {
	value, err := hujson.Parse(r.text)
	if err != nil {
		r.noteSyntax(err)
		return hujson.Value{}, false
	}
	return value, true
}
