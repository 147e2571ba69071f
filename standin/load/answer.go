package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// completion is the part of an answer or event that holds the text or an error.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
		Reason  string `json:"reason"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

var errNoEnd = errors.New("the stream has no [DONE]")

// content returns the text of an answer that is not streamed.
func content(data []byte) (string, error) {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return "", err
	}
	if len(c.Choices) == 0 {
		return "", fmt.Errorf("answer of %d bytes has no choice", len(data))
	}
	return c.Choices[0].Message.Content, nil
}

// readStream returns the text of a streamed answer and the time to its first
// token.
func readStream(r io.Reader, start time.Time) (text string, first time.Duration, err error) {
	var b strings.Builder
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return b.String(), first, nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", first, err
		}
		if c.Error != nil {
			return "", first, fmt.Errorf("%s (%s): %s", c.Error.Reason, c.Error.Outcome, c.Error.Message)
		}
		if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
			continue
		}
		if first == 0 {
			first = time.Since(start)
		}
		b.WriteString(c.Choices[0].Delta.Content)
	}
	if lines.Err() != nil {
		return "", first, lines.Err()
	}
	return "", first, errNoEnd
}

// summarise prints a table and reports whether every answer was whole, or visibly
// refused or cut.
func summarise(w io.Writer, o options, results []result) bool {
	type row struct {
		whole, refused, cut, wrong int
		first                      []time.Duration
	}
	rows := map[string]*row{}
	var names []string
	correct := true
	for _, r := range results {
		if o.Verbose {
			_, _ = fmt.Fprintf(w, "%-24s %-6s %-7s first %-8v total %-8v %s\n", r.caller, r.kind, r.outcome,
				r.firstToken.Round(time.Millisecond), r.total.Round(time.Millisecond), r.detail)
		}
		counts, found := rows[r.caller]
		if !found {
			counts = &row{}
			rows[r.caller] = counts
			names = append(names, r.caller)
		}
		switch r.outcome {
		case "whole":
			counts.whole++
			counts.first = append(counts.first, r.firstToken)
		case "refused":
			counts.refused++
		case "cut":
			counts.cut++
		default:
			counts.wrong++
			correct = false
		}
	}
	slices.Sort(names)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "caller\twhole\trefused\tcut\twrong\tfirst p50\tfirst p95")
	for _, n := range names {
		counts := rows[n]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%v\t%v\n", n, counts.whole, counts.refused, counts.cut, counts.wrong,
			quantile(counts.first, 0.5), quantile(counts.first, 0.95))
	}
	_ = table.Flush()
	return correct
}

// quantile returns the q-quantile, rounded to milliseconds.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))].Round(time.Millisecond)
}
