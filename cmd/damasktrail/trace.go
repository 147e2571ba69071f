package main

import (
	"fmt"
	"io"
	"os"

	"damasktrail.dev/trace"
)

// tracing implements the trace command, which explains how one request ended.
type tracing struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"1"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
	in  io.Reader
	out io.Writer
}

// Execute implements flags.Commander. Without files it reads standard input.
func (c *tracing) Execute([]string) error {
	logs := []io.Reader{c.in}
	if len(c.Args.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name) // #nosec G304 -- the operator names the file
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	t, err := trace.Read(c.Args.ID, logs...)
	if err != nil {
		return err
	}
	for _, l := range t.Lines {
		_, _ = fmt.Fprintln(c.out, l)
	}
	if len(t.ProcessLines) > 0 {
		_, _ = fmt.Fprintln(c.out, "\nThe process had noted:")
	}
	for _, l := range t.ProcessLines {
		_, _ = fmt.Fprintln(c.out, l)
	}
	if len(t.Lines) > 0 {
		_, _ = fmt.Fprintln(c.out)
	}
	_, _ = fmt.Fprintln(c.out, t.Cause())
	if len(t.Lines) == 0 {
		return errDifferent
	}
	return nil
}
