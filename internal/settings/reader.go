package settings

import (
	"bytes"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"github.com/hibiscuspulley/hibiscuspulley/internal/findings"
)

// reader holds the text of a settings file and the findings about it. file is the
// name that the findings state.
type reader struct {
	file     string
	text     []byte
	findings findings.List
}

// addFinding adds a finding at a byte offset.
func (r *reader) addFinding(offset int, message, remedy string) {
	line, column := r.position(offset)
	r.findings = append(r.findings, findings.Finding{
		File: r.file, Line: line, Column: column, Message: message, Remedy: remedy,
	})
}

// position converts a byte offset to a line and a column, both counted from 1.
func (r *reader) position(offset int) (line, column int) {
	before := r.text[:min(offset, len(r.text))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// syntaxPosition matches the position in an error of the JSON parser.
var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+)`)

// addSyntaxError adds an error of the JSON parser as a finding. If the error states
// no position, the finding is at the start of the file.
func (r *reader) addSyntaxError(err error) {
	f := findings.Finding{
		File: r.file, Line: 1, Column: 1,
		Message: "the file is not valid JSON with comments: " + err.Error(),
		Remedy:  "correct the syntax at this position",
	}
	if match := syntaxPosition.FindStringSubmatch(err.Error()); match != nil {
		f.Line, _ = strconv.Atoi(match[1])
		f.Column, _ = strconv.Atoi(match[2])
	}
	r.findings = append(r.findings, f)
}

// parse parses the text. It adds a finding and returns false if the syntax is
// invalid.
func (r *reader) parse() (hujson.Value, bool) {
	value, err := hujson.Parse(r.text)
	if err != nil {
		r.addSyntaxError(err)
		return hujson.Value{}, false
	}
	return value, true
}
