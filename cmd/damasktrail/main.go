// Command damasktrail is the operators' command line.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"damasktrail.dev/document"
)

// The exit codes.
const (
	exitOK = 0
	// exitNegative is for documents that differ or are invalid, for processes that
	// are unreachable or lag, for requests that no log line names, and for configurations
	// with findings.
	exitNegative = 1
	// exitUsage is for wrong usage, and for files that the table command cannot read or decode.
	exitUsage = 2
	// exitFile is for files that other commands cannot read or write.
	exitFile = 3
)

// errDifferent makes a command exit with exitNegative and no error message.
var errDifferent = errors.New("documents differ")

// usageError reports an invalid argument.
type usageError struct {
	message string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.message
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser("damasktrail", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short, long string
		data              flags.Commander
	}{
		{"check", "Check a document", "Reads a document and lists all its problems.", &check{out: out}},
		{"diff", "Compare two documents", "Lists the changes that lead from document A to document B.", &diff{out: out}},
		{"table", "Check a gateway's configuration", "Checks a configuration of the platform as a gateway decodes it, and lists what differs from the one in force.", &tableCommand{out: out}},
		{"status", "Show entries and agents", "Reads the operators' listeners at the given addresses (host:port) and lists what the processes say of themselves.", &status{out: out, errOut: errOut}},
		{"trace", "Explain a request", "Finds the lines of the request with the given id in log files, or on standard input, and says how it ended and why.", &tracing{in: os.Stdin, out: out}},
		{"keys", "Make development certificates", "Makes a development authority where there is none, and a certificate of it for one process.", &keys{out: out}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // The commands are constant and valid.
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, out, errOut)
}

// report prints the error of a command, if any, and returns the exit code.
func report(err error, out, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	if errors.Is(err, errDifferent) || errors.Is(err, errBehind) || errors.Is(err, errFindings) {
		return exitNegative
	}
	if invalid, ok := errors.AsType[*fileInvalidError](err); ok {
		for _, p := range invalid.err.Problems {
			_, _ = fmt.Fprintf(errOut, "%s: %s\n", invalid.file, p)
		}
		if n := invalid.err.Omitted; n > 0 {
			_, _ = fmt.Fprintf(errOut, "%s: %d more problems\n", invalid.file, n)
		}
		return exitNegative
	}
	if f, ok := errors.AsType[*flags.Error](err); ok {
		if f.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, f.Message)
			return exitOK
		}
		_, _ = fmt.Fprintln(errOut, "damasktrail:", f.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintln(errOut, "damasktrail:", err)
	if _, ok := errors.AsType[*usageError](err); ok {
		return exitUsage
	}
	if _, ok := errors.AsType[*unusableError](err); ok {
		return exitUsage
	}
	return exitFile
}

// fileInvalidError reports that a file does not hold a valid document.
type fileInvalidError struct {
	file string
	err  *document.InvalidError
}

// Error implements error.
func (e *fileInvalidError) Error() string {
	return e.file + ": " + e.err.Error()
}

// load reads and parses a document.
func load(file string) (*document.Document, error) {
	data, err := os.ReadFile(file) // #nosec G304 -- the operator names the file
	if err != nil {
		return nil, err
	}
	res, err := document.Parse(data)
	if invalid, ok := errors.AsType[*document.InvalidError](err); ok {
		return nil, &fileInvalidError{file: file, err: invalid}
	}
	return res, err
}
