package ctl

import (
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/medlarsill/medlarsill/pkg/explain"
)

type explainCommand struct {
	app  *app
	Args struct {
		ID    string           `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Files []flags.Filename `positional-arg-name:"FILE" description:"logs of the processes (default: standard input)"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	logs, closeAll, err := openLogs(c.Args.Files)
	if err != nil {
		return err
	}
	defer closeAll()
	return explain.WriteTimeline(c.Args.ID, logs, c.app.stdout)
}

// openLogs returns a reader of the concatenated files, or of standard input if
// there are none, and a function that closes the files.
func openLogs(names []flags.Filename) (io.Reader, func(), error) {
	if len(names) == 0 {
		return os.Stdin, func() {}, nil
	}
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			f.Close()
		}
	}
	readers := make([]io.Reader, 0, len(names))
	for _, name := range names {
		f, err := os.Open(string(name))
		if err != nil {
			closeAll()
			return nil, nil, usageError(err.Error())
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
