package main

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"damasktrail.dev/document"
)

// check implements the check command, which validates one document.
type check struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute implements flags.Commander.
func (c *check) Execute(rest []string) error {
	if err := noArgs(rest); err != nil {
		return err
	}
	d, err := load(c.Args.File)
	if err != nil {
		return err
	}
	sum := d.Digest()
	_, err = fmt.Fprintf(c.out,
		"%s: generation %d, digest %x\n%d domains, %d tiers, %d models, %d sets, %d services, %d organisations\n",
		c.Args.File, d.Generation, sum[:8], len(d.Domains), len(d.Tiers), len(d.Models), len(d.Sets),
		len(d.Services), len(d.Organisations))
	return err
}

func noArgs(rest []string) error {
	if len(rest) > 0 {
		return &usageError{message: fmt.Sprintf("unexpected argument %q", rest[0])}
	}
	return nil
}

// diff implements the diff command, which lists the changes between two documents.
type diff struct {
	JSON bool `long:"json" description:"print the difference as JSON"`
	Args struct {
		From string `positional-arg-name:"A"`
		To   string `positional-arg-name:"B"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute implements flags.Commander. It returns errDifferent after it has printed
// a difference.
func (d *diff) Execute(rest []string) error {
	if err := noArgs(rest); err != nil {
		return err
	}
	from, err := load(d.Args.From)
	if err != nil {
		return err
	}
	to, err := load(d.Args.To)
	if err != nil {
		return err
	}
	difference := document.Compare(from, to)
	if d.JSON {
		err = printJSON(d.out, difference)
	} else if from.Digest() != to.Digest() {
		err = printTable(d.out, from, difference)
	}
	if err == nil && from.Digest() != to.Digest() {
		err = errDifferent
	}
	return err
}

func printJSON(out io.Writer, difference document.Difference) error {
	if difference.Operations == nil {
		difference.Operations = []document.Operation{}
	}
	e := json.NewEncoder(out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(struct {
		document.Difference
		Digest string `json:"digest"`
	}{difference, hex.EncodeToString(difference.Digest[:])})
}

func printTable(out io.Writer, from *document.Document, difference document.Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "generation %d to %d\n", difference.From, difference.To)
	if len(difference.Operations) > 0 {
		_, _ = fmt.Fprintln(w, "CHANGE\tSECTION\tNAME")
	}
	for _, o := range difference.Operations {
		change := o.Action
		if change == document.ActionSet {
			change = "add"
			if exists(from, o) {
				change = "replace"
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", change, o.Section, o.Name)
	}
	return w.Flush()
}

// exists reports whether d already has the item that the operation o sets.
func exists(d *document.Document, o document.Operation) bool {
	res := true
	switch o.Section {
	case document.SectionDomains:
		_, res = d.Domain(o.Name)
	case document.SectionTiers:
		_, res = d.Tier(o.Name)
	case document.SectionModels:
		_, res = d.Model(o.Name)
	case document.SectionSets:
		_, res = d.Set(o.Name)
	case document.SectionServices:
		_, res = d.Service(o.Name)
	case document.SectionOrganisations:
		_, res = d.Organisation(o.Name)
	}
	return res
}
