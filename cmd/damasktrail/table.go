package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"damasktrail.dev/platform"
	"damasktrail.dev/routing"
	"damasktrail.dev/tablecheck"
)

// errFindings makes a command exit with exitNegative and no error message.
var errFindings = errors.New("configuration has findings")

// unusableError reports a file that cannot be read or decoded. The table command exits with
// exitUsage then, so that exitNegative always means that the whole table was checked.
type unusableError struct {
	file string
	err  error
}

// Error implements error.
func (e *unusableError) Error() string { return e.file + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *unusableError) Unwrap() error { return e.err }

// tableCommand implements the table command, which checks a configuration of the platform.
type tableCommand struct {
	InForce  string `long:"in-force" value-name:"OLD.json" description:"configuration in force, with which to compare"`
	Settings string `long:"settings" value-name:"SETTINGS.yaml" description:"settings file of a gateway, for its regions and memory"`
	JSON     bool   `long:"json" description:"print the findings and differences as JSON"`
	Args     struct {
		File string `positional-arg-name:"NEW.json"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// tableReport is what the table command prints.
type tableReport struct {
	Findings    []tablecheck.Finding `json:"findings"`
	Differences []tablecheck.Finding `json:"differences"`
}

// Execute implements flags.Commander. It returns errFindings after it has printed findings.
func (c *tableCommand) Execute(rest []string) error {
	if err := noArgs(rest); err != nil {
		return err
	}
	settings, err := c.settings()
	if err != nil {
		return err
	}
	res := tableReport{Findings: []tablecheck.Finding{}, Differences: []tablecheck.Finding{}}
	next, err := readTable(c.Args.File)
	if invalid, ok := errors.AsType[*decodeError](err); ok {
		res.Findings = append(res.Findings, tablecheck.Undecodable(invalid.data, invalid.err))
		return errors.Join(err, c.print(res))
	}
	if err != nil {
		return err
	}
	res.Findings = append(res.Findings, tablecheck.Check(next, settings)...)
	if c.InForce != "" {
		old, err := readTable(c.InForce)
		if err != nil {
			return err
		}
		res.Findings = append(res.Findings, tablecheck.CheckVersion(old, next)...)
		res.Differences = append(res.Differences, tablecheck.Compare(old, next)...)
	}
	if err := c.print(res); err != nil {
		return err
	}
	if len(res.Findings) > 0 {
		return errFindings
	}
	return nil
}

// settings returns the settings to check with, nil if no file is named.
func (c *tableCommand) settings() (*tablecheck.Settings, error) {
	if c.Settings == "" {
		return nil, nil
	}
	s, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return nil, &unusableError{file: c.Settings, err: err}
	}
	return &tablecheck.Settings{Regions: s.Regions, MemoryBytes: s.MemoryBytes, RetryRatio: s.Retry.Ratio, RetrySlack: s.Retry.Slack}, nil
}

// decodeError reports a file that is read but that gateways cannot decode.
type decodeError struct {
	data []byte
	err  error
}

// Error implements error.
func (e *decodeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *decodeError) Unwrap() error { return e.err }

func readTable(file string) (*routing.Table, error) {
	data, err := os.ReadFile(file) // #nosec G304 -- the operator names the file
	if err != nil {
		return nil, &unusableError{file: file, err: err}
	}
	res, err := platform.DecodeConfig(data)
	if err != nil {
		return nil, &unusableError{file: file, err: &decodeError{data: data, err: err}}
	}
	return res, nil
}

func (c *tableCommand) print(r tableReport) error {
	if c.JSON {
		e := json.NewEncoder(c.out)
		e.SetEscapeHTML(false)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(c.out, "finding:", f); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintln(c.out, "difference:", d); err != nil {
			return err
		}
	}
	return nil
}
