package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// writeRequest writes a request. A target in RequestURI is written as it is: net/http would write one that
// begins with two slashes as an absolute URI, and encode others anew.
func writeRequest(w *bufio.Writer, req *http.Request) error {
	if req.RequestURI == "" {
		return req.Write(w)
	}
	line := req.Method + " " + req.RequestURI + " HTTP/1.1\r\n"
	return req.Write(&lineReplacer{w: w, line: line})
}

// lineReplacer writes a line in place of the first one that it is given.
type lineReplacer struct {
	w    io.Writer
	line string
	// replaced is true once the first line has ended.
	replaced bool
}

// Write implements io.Writer.
func (r *lineReplacer) Write(data []byte) (int, error) {
	if r.replaced {
		return r.w.Write(data)
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return len(data), nil
	}
	r.replaced = true
	if _, err := io.WriteString(r.w, r.line); err != nil {
		return 0, err
	}
	n, err := r.w.Write(data[end+1:])
	return end + 1 + n, err
}
