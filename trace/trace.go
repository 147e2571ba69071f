// Package trace finds the lines of one request in the logs of several processes
// and says how it ended and why. Start from [Read].
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
	// before is how long before the end of a request the beliefs of its process
	// are shown.
	before = 6 * time.Second
	// maxLine bounds a line in bytes.
	maxLine = 1 << 20
	// maxBeliefs bounds the lines about beliefs; the newest are kept.
	maxBeliefs = 12
)

// Line is one line of a log. Its names are those of docs/OPERATIONS.md.
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

	// text is the line as it was written.
	text string
}

// String returns the line as it was written.
func (l Line) String() string { return l.text }

// Trace is what the logs say of one request.
type Trace struct {
	// ID is the id of the caller's attempt.
	ID string
	// Lines name the request, in the order of the process that wrote them.
	Lines []Line
	// Beliefs are lines of the same process that name no request, up to some
	// seconds before the request's last line.
	Beliefs []Line
	// Skipped is the number of lines that are no log lines.
	Skipped int
}

// Read reads logs one after the other. A line may have any text before its JSON
// object. The order of lines is kept within a process, whatever its clock does.
func Read(id string, logs ...io.Reader) (res Trace, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read logs: %w", err)
		}
	}()
	res.ID = id
	beliefs := map[string][]Line{}
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			l, ok := parse(s.Bytes())
			switch {
			case !ok:
				res.Skipped++
			case l.ID == id:
				res.Lines = append(res.Lines, l)
				res.Beliefs = append(res.Beliefs, beliefs[l.VM]...)
				beliefs[l.VM] = nil
			case l.ID == "":
				beliefs[l.VM] = append(beliefs[l.VM], l)
			}
		}
		if err := s.Err(); err != nil {
			return res, err
		}
	}
	res.Beliefs = recent(res.Beliefs, res.Lines)
	return res, nil
}

// parse reads a line that ends with a JSON object.
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
	res.text = string(line[start:])
	return res, true
}

// recent returns the newest beliefs that are close to the request.
func recent(beliefs, lines []Line) []Line {
	if len(lines) == 0 {
		return nil
	}
	end := lines[len(lines)-1].Time
	var res []Line
	for _, b := range beliefs {
		if d := end.Sub(b.Time); d < before && d > -before {
			res = append(res, b)
		}
	}
	return res[max(0, len(res)-maxBeliefs):]
}

// Cause says in a sentence how the request ended and why, or what is missing to
// tell it.
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
			last.Status, last.Endpoint, ms(last.First), ms(last.Wait), ms(last.Whole), sends(last.Sends))
	case "cut":
		return fmt.Sprintf("Cut off after %d events and %s: %s.", last.Events, ms(last.Whole), t.because(last))
	}
	return fmt.Sprintf("Refused with status %d (%s): %s.", last.Status, ran(last.Ran), t.because(last))
}

func sends(n int) string {
	if n == 1 {
		return "sent once"
	}
	return fmt.Sprintf("sent %d times", n)
}

func ran(r bool) string {
	if r {
		return "it may have run"
	}
	return "it has not run"
}

// because explains a reason.
func (t Trace) because(l Line) string {
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
		return fmt.Sprintf("%s, after %s of waiting and %s", l.Detail, l.Wait.Round(time.Millisecond), sends(l.Sends))
	case "lost":
		return fmt.Sprintf("the connection to %s broke (%s), %s, and it may not be sent again", l.Endpoint, l.Detail, sends(l.Sends))
	case "cancelled":
		return fmt.Sprintf("the caller left after %s", l.Whole.Round(time.Millisecond))
	case "leaving":
		return "its process was shutting down and could not have finished it"
	case "poisoned":
		return "it has crashed endpoints before"
	}
	return fmt.Sprintf("%s (%s)", l.Detail, l.Reason)
}
