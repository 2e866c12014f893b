// Package strictjson decodes JSON with comments into Go values and reports all
// errors of a file at once, each with its file, line and field.
package strictjson

import (
	"fmt"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	// File is the name of the file; empty if it has none.
	File string `json:"file,omitempty"`
	// Line is the line number, from 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, such as "services[0].machine_class".
	Field string `json:"field,omitempty"`
	// Message describes the error.
	Message string `json:"message"`
}

// String returns the problem as "file:line: field: message".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field)
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems is an error that holds all problems of a file. It is never empty.
type Problems []Problem

// Error implements error. It returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by types that validate themselves after decoding.
type Validator interface {
	// Validate returns the problems found, with field paths. Decode sets File and Line.
	Validate() []Problem
}
