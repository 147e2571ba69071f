// Package trace finds the lines of one request in the logs of several processes
// and explains how and why the request ended. Start from [Read].
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// processLineWindow is the greatest distance in time between a process line and
	// the last line of the request.
	processLineWindow = 6 * time.Second
	// maxLineBytes limits the length of a line.
	maxLineBytes = 1 << 20
	// maxProcessLines limits the number of process lines. The newest are kept.
	maxProcessLines = 12
)

// Line is one line of a log. Its keys are documented in docs/OPERATIONS.md.
type Line struct {
	Time         time.Time     `json:"time"`
	Level        string        `json:"level"`
	Message      string        `json:"msg"`
	VM           string        `json:"vm"`
	ID           string        `json:"id"`
	Outcome      string        `json:"outcome"`
	Status       int           `json:"status"`
	Reason       string        `json:"reason"`
	Detail       string        `json:"detail"`
	Endpoint     string        `json:"endpoint"`
	Organisation string        `json:"organisation"`
	Table        uint64        `json:"table"`
	Age          time.Duration `json:"age"`
	Wait         time.Duration `json:"wait"`
	First        time.Duration `json:"first"`
	Whole        time.Duration `json:"whole"`
	Retry        time.Duration `json:"retry"`
	Sends        int           `json:"sends"`
	Events       int           `json:"events"`
	Ran          bool          `json:"ran"`
	Error        any           `json:"error"`

	// raw is the line as it was written.
	raw string
}

// String returns the line as it was written.
func (l Line) String() string { return l.raw }

// Trace holds the log lines that concern one request.
type Trace struct {
	// ID is the id of the request, which is that of the caller's attempt.
	ID string
	// Lines are the lines with this id. Those of one process are in the order in
	// which it wrote them.
	Lines []Line
	// ProcessLines are the lines without a request id that the same process wrote before
	// the request's last line, at most some seconds earlier.
	ProcessLines []Line
	// Skipped is the number of lines that are not valid log lines.
	Skipped int
}

// Read reads the logs one after the other and returns the trace of the request with
// the given id. A line may have any text before its JSON object. Lines stay in the
// order of the logs and are not sorted by time, so that the order within a process
// is right even if its clock is adjusted.
func Read(id string, logs ...io.Reader) (res Trace, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read logs: %w", err)
		}
	}()
	res.ID = id
	processLines := map[string][]Line{}
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			l, ok := parse(s.Bytes())
			switch {
			case !ok:
				res.Skipped++
			case l.ID == id:
				res.Lines = append(res.Lines, l)
				res.ProcessLines = append(res.ProcessLines, processLines[l.VM]...)
				processLines[l.VM] = nil
			case l.ID == "":
				processLines[l.VM] = append(processLines[l.VM], l)
			}
		}
		if err := s.Err(); err != nil {
			return res, err
		}
	}
	res.ProcessLines = recentLines(res.ProcessLines, res.Lines)
	return res, nil
}

// parse parses a line that ends with a JSON object. It removes a component prefix,
// such as "gateway: ", from the message.
func parse(line []byte) (res Line, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return res, false
	}
	if err := json.Unmarshal(line[start:], &res); err != nil || res.Message == "" {
		return res, false
	}
	_, message, found := strings.Cut(res.Message, ": ")
	if found {
		res.Message = message
	}
	res.raw = string(line[start:])
	return res, true
}

// recentLines returns the newest process lines within processLineWindow of the last
// of lines.
func recentLines(processLines, lines []Line) []Line {
	if len(lines) == 0 {
		return nil
	}
	end := lines[len(lines)-1].Time
	var res []Line
	for _, l := range processLines {
		if d := end.Sub(l.Time); d < processLineWindow && d > -processLineWindow {
			res = append(res, l)
		}
	}
	return res[max(0, len(res)-maxProcessLines):]
}

// Cause explains in one sentence how and why the request ended, or which log lines
// are missing.
func (t Trace) Cause() string {
	if len(t.Lines) == 0 {
		return fmt.Sprintf("No line names %s: it never reached a process, or the lines were dropped (damasktrail_log_dropped) or are in other files.", t.ID)
	}
	last := t.Lines[len(t.Lines)-1]
	if last.Outcome == "" {
		return fmt.Sprintf("%s has no last line on %s: the process was killed, or still works on it; its last step was %q.", t.ID, last.VM, last.Message)
	}
	ms := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	switch last.Outcome {
	case "answered":
		return fmt.Sprintf("Answered with status %d by %s: first byte after %s, of which %s waiting for a place, whole after %s, %s.",
			last.Status, last.Endpoint, ms(last.First), ms(last.Wait), ms(last.Whole), sendsText(last.Sends))
	case "cut":
		return fmt.Sprintf("Cut off after %d events and %s: %s.", last.Events, ms(last.Whole), t.explainReason(last))
	}
	return fmt.Sprintf("Refused with status %d (%s): %s.", last.Status, executionText(last.Ran), t.explainReason(last))
}

func sendsText(n int) string {
	if n == 1 {
		return "sent once"
	}
	return fmt.Sprintf("sent %d times", n)
}

func executionText(mayHaveRun bool) string {
	if mayHaveRun {
		return "it may have run"
	}
	return "it has not run"
}

// explainReason describes why the request was refused or cut off, given its last line.
func (t Trace) explainReason(l Line) string {
	switch l.Reason {
	case "limit":
		return fmt.Sprintf("the quota of %s was used up; room in %s", l.Organisation, l.Retry.Round(time.Millisecond))
	case "unauthorised":
		return fmt.Sprintf("the key is not in table %d, confirmed %s before", l.Table, l.Age.Round(time.Millisecond))
	case "nomodel":
		return fmt.Sprintf("table %d, confirmed %s before, has no route for it", l.Table, l.Age.Round(time.Millisecond))
	case "notready":
		return fmt.Sprintf("%s (table %d, confirmed %s before)", l.Detail, l.Table, l.Age.Round(time.Millisecond))
	case "deadline":
		return fmt.Sprintf("%s, after %s of waiting and %s", l.Detail, l.Wait.Round(time.Millisecond), sendsText(l.Sends))
	case "lost":
		return fmt.Sprintf("the connection to %s broke (%s), %s, and it may not be sent again", l.Endpoint, l.Detail, sendsText(l.Sends))
	case "cancelled":
		return fmt.Sprintf("the caller left after %s", l.Whole.Round(time.Millisecond))
	case "leaving":
		return "its process was shutting down and could not have finished it"
	case "poisoned":
		return "it has crashed endpoints before"
	}
	return fmt.Sprintf("%s (%s)", l.Detail, l.Reason)
}
