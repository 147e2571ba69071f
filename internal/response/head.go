package response

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports bytes that are not the head of an answer: its status line and its
// header.
type MalformedError struct {
	// Reason says what is wrong.
	Reason string
	// Line is the beginning of the malformed line.
	Line string
}

// Error implements error. It leaves out the line, which is no text to pass on.
func (e *MalformedError) Error() string { return "malformed answer: " + e.Reason }

// maxLineBytes is how much of a line is kept. A status and each name of a field that says
// where the body ends are shorter.
const maxLineBytes = 64

// headState is the position in the head of an answer.
type headState int

const (
	outside headState = iota // before the first head, or after the end of one
	inStatus
	atLineStart
	inName
	inValue
)

// head checks the heads of the answers to one request, informational (1xx) ones included,
// byte by byte as they arrive. It checks lines, the status and the names of fields. Sizes,
// lengths, other encodings and the body are left to net/http. It is not safe for concurrent
// use.
type head struct {
	state headState
	// line is the beginning of the current line, at most maxLineBytes.
	line []byte
	// afterCR is true after a carriage return, which only the end of a line may follow.
	afterCR bool
	// protocol is the protocol of the current answer, such as HTTP/1.1.
	protocol string
	// informational is true if another answer follows the current one.
	informational bool
	// err is the first error, after which all is malformed.
	err error
}

// begin expects the head of an answer.
func (h *head) begin() {
	h.state, h.line, h.afterCR = inStatus, h.line[:0], false
}

// scan checks the bytes that have arrived and returns how many come before the first error.
// It ignores those after the head.
func (h *head) scan(p []byte) (sound int, err error) {
	for i, b := range p {
		if h.state == outside {
			break
		}
		if h.err == nil {
			h.err = h.next(b)
		}
		if h.err != nil {
			return i, h.err
		}
	}
	return len(p), h.err
}

// next checks the next byte of the head.
func (h *head) next(b byte) error {
	if b == '\n' {
		h.afterCR = false
		return h.endLine()
	}
	if h.afterCR {
		return h.malformed("carriage return inside a line")
	}
	if b == '\r' {
		h.afterCR = true
		return nil
	}
	if len(h.line) < maxLineBytes {
		h.line = append(h.line, b)
	}
	switch h.state {
	case atLineStart:
		h.state = inName
		return h.checkName(b)
	case inName:
		return h.checkName(b)
	case inValue:
		if b < ' ' && b != '\t' || b == '\x7f' {
			return h.malformed("value of a field holds a control byte")
		}
	case outside, inStatus:
	}
	return nil
}

// checkName checks the next byte of the name of a field, or the colon at its end. A line
// that begins with a blank continues the field before it (obs-fold): a field that one
// reader sees there is a part of a value to the next.
func (h *head) checkName(b byte) error {
	if b != ':' {
		if !httpguts.IsTokenRune(rune(b)) {
			return h.malformed("name of a field holds a byte that names may not have")
		}
		return nil
	}
	h.state = inValue
	if len(h.line) == 1 {
		return h.malformed("field has no name")
	}
	// net/http ignores such a field and takes the chunks for the body.
	if h.protocol == "HTTP/1.0" && strings.EqualFold(string(h.line), "Transfer-Encoding:") {
		return h.malformed("version 1.0 has no transfer encodings")
	}
	return nil
}

// endLine checks the line that ends and begins the next one.
func (h *head) endLine() (err error) {
	switch h.state {
	case inStatus:
		err = h.checkStatus(string(h.line))
		h.state = atLineStart
	case inName:
		err = h.malformed("field has no colon")
	case inValue:
		h.state = atLineStart
	case atLineStart:
		h.state = outside
		if h.informational {
			h.state = inStatus
		}
	case outside:
	}
	h.line = h.line[:0]
	return err
}

// checkStatus checks the status line.
func (h *head) checkStatus(line string) error {
	protocol, status, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(status, " "), " ")
	minor, found := strings.CutPrefix(protocol, "HTTP/1.")
	if !found || len(minor) != 1 || !isDigits(minor) {
		return h.malformed("version is not 1.x")
	}
	if len(code) != 3 || !isDigits(code) || code[0] < '1' || code[0] > '5' {
		return h.malformed("status is not from 100 to 599")
	}
	if code == "101" {
		return h.malformed("no other protocol was asked for")
	}
	h.protocol, h.informational = protocol, code[0] == '1'
	return nil
}

// isDigits reports whether s has decimal digits only.
func isDigits(s string) bool { return strings.Trim(s, "0123456789") == "" }

func (h *head) malformed(reason string) error {
	return &MalformedError{Reason: reason, Line: string(h.line)}
}
