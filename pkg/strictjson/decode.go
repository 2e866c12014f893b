package strictjson

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"
)

// MaxBytes is the maximum input size, in bytes.
const MaxBytes = 1 << 20

// MaxDepth is the maximum nesting depth of objects and arrays.
const MaxDepth = 64

// ReadFile reads a file and decodes it into out.
func ReadFile(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Problems{{File: path, Message: "the file can't be read: " + err.Error()}}
	}
	return Decode(path, data, out)
}

// Decode decodes JSON with comments into out, a pointer to a struct. Fields that
// are missing from data keep their values. If out is a Validator, it is validated
// too. The error is of type Problems, with file as the file name.
func Decode(file string, data []byte, out any) error {
	_, err := DecodeWithLines(file, data, out)
	return err
}

// Lines maps the field paths of a decoded file to line numbers.
type Lines struct{ checker *checker }

// Of returns the line number of a field, or that of the nearest enclosing field if
// the file doesn't contain it. It returns 0 if the file could not be parsed.
func (l Lines) Of(field string) int {
	if l.checker == nil {
		return 0
	}
	return l.checker.line(field)
}

// DecodeWithLines is like Decode and also returns the lines of the fields.
func DecodeWithLines(file string, data []byte, out any) (Lines, error) {
	if message := checkInput(data); message != "" {
		return Lines{}, Problems{{File: file, Message: message}}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return Lines{}, Problems{{File: file, Line: syntaxLine(err), Message: err.Error()}}
	}
	c := newChecker(data)
	c.checkValue(&root, typeOf(out), "")
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), out); err != nil {
		c.add(&root, "", "%s", err)
	} else if v, ok := out.(Validator); ok {
		c.addValidation(v.Validate())
	}
	return Lines{c}, c.result(file)
}

// checkInput returns the reason why data is not parsed at all, or "".
func checkInput(data []byte) string {
	switch {
	case len(bytes.TrimSpace(data)) == 0:
		return "the file is empty"
	case len(data) > MaxBytes:
		return "the file is larger than " + strconv.Itoa(MaxBytes) + " bytes"
	case depth(data) > MaxDepth:
		return "objects and arrays are nested deeper than " + strconv.Itoa(MaxDepth)
	}
	return ""
}

// LineOf returns the line number of a top-level field in a file, or 0 if it is not found.
func LineOf(path, field string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return 0
	}
	v := root.Find("/" + field)
	if v == nil {
		return 0
	}
	return newChecker(data).lineAt(v.StartOffset)
}

// addValidation records the problems found by validation, each with the line of
// its field or of the nearest enclosing field. Problems of fields that were
// already rejected are skipped.
func (c *checker) addValidation(found []Problem) {
	for _, p := range found {
		if c.overlapsRejected(p.Field) {
			continue
		}
		p.Line = c.line(p.Field)
		c.problems = append(c.problems, p)
	}
}

// result returns the problems sorted by line, or nil if there are none.
func (c *checker) result(file string) error {
	if len(c.problems) == 0 {
		return nil
	}
	for i := range c.problems {
		c.problems[i].File = file
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return Problems(c.problems)
}

// syntaxPosition matches the line number in an error of the hujson parser.
var syntaxPosition = regexp.MustCompile(`line (\d+)`)

// syntaxLine returns the line number of a syntax error, or 0 if it has none.
func syntaxLine(err error) int {
	m := syntaxPosition.FindStringSubmatch(err.Error())
	if m == nil {
		return 0
	}
	n, _ := strconv.Atoi(m[1])
	return n
}

// depth returns the nesting depth of objects and arrays. It is checked before parsing
// because the parser is recursive and deep input could exhaust the stack.
func depth(data []byte) int {
	deepest, current := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i += stringLength(data[i:]) - 1
		case '/':
			i += max(commentLength(data[i:]), 1) - 1
		case '{', '[':
			current++
			deepest = max(deepest, current)
		case '}', ']':
			current--
		}
	}
	return deepest
}

// stringLength returns the length of the string that data begins with, or of all data if
// it doesn't end.
func stringLength(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// commentLength returns the length of the comment that data begins with, or of all data if
// it doesn't end. It returns 0 if data doesn't begin with a comment.
func commentLength(data []byte) int {
	end := ""
	switch {
	case bytes.HasPrefix(data, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(data, []byte("/*")):
		end = "*/"
	default:
		return 0
	}
	const opening = 2
	n := bytes.Index(data[opening:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return opening + n + len(end)
}
