package response

import "strings"

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

// maxLineBytes is how much of a line is kept. A status is shorter.
const maxLineBytes = 64

// headState is the position in the head of an answer.
type headState int

const (
	outside headState = iota // before the first head, or after the end of one
	inStatus
	atLineStart
	inField
)

// head checks the heads of the answers to one request, informational (1xx) ones included,
// byte by byte as they arrive. It rejects what net/http lets pass and leaves the rest to
// net/http: sizes, fields, the body. It is not safe for concurrent use.
type head struct {
	state headState
	// line is the beginning of the current line, at most maxLineBytes.
	line []byte
	// informational is true if another answer follows the current one.
	informational bool
	// err is the first error, after which all is malformed.
	err error
}

// begin expects the head of an answer.
func (h *head) begin() {
	h.state, h.line = inStatus, h.line[:0]
}

// scan checks the bytes that have arrived. It ignores those after the head.
func (h *head) scan(p []byte) error {
	for _, b := range p {
		if h.err != nil || h.state == outside {
			break
		}
		h.err = h.next(b)
	}
	return h.err
}

// next checks the next byte of the head.
func (h *head) next(b byte) error {
	if b == '\n' {
		return h.endLine()
	}
	if len(h.line) < maxLineBytes {
		h.line = append(h.line, b)
	}
	if h.state == atLineStart && b != '\r' {
		h.state = inField
	}
	return nil
}

// endLine checks the line that ends and begins the next one.
func (h *head) endLine() (err error) {
	switch h.state {
	case inStatus:
		err = h.checkStatus(strings.TrimSuffix(string(h.line), "\r"))
		h.state = atLineStart
	case inField:
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
		return h.malformed("version is not 1.0 or 1.1")
	}
	if len(code) != 3 || !isDigits(code) || code[0] < '1' || code[0] > '5' {
		return h.malformed("status is not from 100 to 599")
	}
	if code == "101" {
		return h.malformed("no other protocol was asked for")
	}
	h.informational = code[0] == '1'
	return nil
}

// isDigits reports whether s has decimal digits only.
func isDigits(s string) bool { return strings.Trim(s, "0123456789") == "" }

func (h *head) malformed(reason string) error {
	return &MalformedError{Reason: reason, Line: string(h.line)}
}
