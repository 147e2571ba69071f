// Package strict reads JSON values that operators publish: unknown fields,
// duplicate keys, fields in other case, null and durations without a unit are
// refused, and each problem has its path. Start from [Read].
package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Location is a place in the text. Its string is made only for a problem. The
// nil location is the text as a whole.
type Location struct {
	parent *Location
	// field is empty for an element of a list.
	field string
	index int
}

// At returns the location of a field of an object.
func (l *Location) At(field string) *Location { return &Location{parent: l, field: field} }

// Element returns the location of an element of a list, from 0.
func (l *Location) Element(i int) *Location { return &Location{parent: l, index: i} }

// String returns the path in the form of Problem.Path.
func (l *Location) String() string {
	switch {
	case l == nil:
		return ""
	case l.field == "":
		return l.parent.String() + "[" + strconv.Itoa(l.index) + "]"
	case l.parent == nil:
		return l.field
	}
	return l.parent.String() + "." + l.field
}

// MaxProblems bounds the list of Problems: a wrong unit repeated over thousands
// of items would otherwise fill the log.
const MaxProblems = 100

// maxText bounds path and message of a problem in bytes: both may quote a value
// of the text, and a name of 500 kB could be quoted by each of 100 problems.
const maxText = 1024

// Problem is one fault of a text.
type Problem struct {
	// Path leads to the fault, as in organisations[2].tiers[0], by the order of
	// the text; it is empty for the text as a whole.
	Path string
	// Message says what is wrong there.
	Message string
}

// String returns path and message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems collects the faults of a text. The zero value is empty.
type Problems struct {
	// List has at most MaxProblems entries in the order in which they were found.
	List []Problem
	// Omitted counts the problems beyond these.
	Omitted int
}

// Add records a problem.
func (p *Problems) Add(l *Location, format string, args ...any) {
	if len(p.List) == MaxProblems {
		p.Omitted++
		return
	}
	p.List = append(p.List, Problem{Path: clip(l.String()), Message: clip(fmt.Sprintf(format, args...))})
}

// clip shortens s to maxText bytes at the start of a character.
func clip(s string) string {
	if len(s) <= maxText {
		return s
	}
	end := maxText
	for !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + "..."
}

// String returns the first problem and the number of the others.
func (p *Problems) String() string {
	rest := len(p.List) - 1 + p.Omitted
	if rest <= 0 {
		return fmt.Sprint(p.List[0])
	}
	return fmt.Sprintf("%s (and %d more problems)", p.List[0], rest)
}

// Read fills target, a pointer to a struct, from JSON of at most limit bytes,
// and adds what is wrong to p. The struct may have strings, flags, numbers,
// durations, structs and lists of these. It reports false when the text is not
// JSON at all, so that no further check makes sense.
func Read(data []byte, limit int, target any, p *Problems) bool {
	if len(data) > limit {
		p.Add(nil, "%d bytes exceed the limit of %d", len(data), limit)
		return false
	}
	if !utf8.Valid(data) {
		p.Add(nil, "text is not valid UTF-8")
		return false
	}
	if !json.Valid(data) {
		// Valid gives no reason, so the text is read again for its error.
		err := json.Unmarshal(data, new(json.RawMessage))
		line, column := position(data, err)
		p.Add(nil, "line %d, column %d: %v", line, column, err)
		return false
	}
	r := &reader{data: data, problems: p, names: map[reflect.Type][]string{}}
	r.decode(reflect.ValueOf(target).Elem())
	return true
}

// position returns line and column of a syntax error, from 1.
func position(data []byte, err error) (line, column int) {
	offset := len(data)
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		offset = max(0, min(offset, int(syntax.Offset)-1))
	}
	before := data[:offset]
	return 1 + bytes.Count(before, []byte("\n")), offset - bytes.LastIndexByte(before, '\n')
}

// reader decodes a text whose syntax was checked before. It is used instead of
// encoding/json's decoder of tokens, which took 191 ms and 28 MB for a list of
// 12,540 VMs.
type reader struct {
	data []byte
	// next is the position of the next byte.
	next     int
	problems *Problems
	// path leads to the value that is being read.
	path []step
	// names has the JSON names of the fields of a struct, by index.
	names map[reflect.Type][]string
}

// step is one field or, when field is empty, one element of a list.
type step struct {
	field string
	index int
}

func (r *reader) problem(format string, args ...any) {
	var l *Location
	for _, s := range r.path {
		if s.field == "" {
			l = l.Element(s.index)
		} else {
			l = l.At(s.field)
		}
	}
	r.problems.Add(l, format, args...)
}

func (r *reader) push(s step) { r.path = append(r.path, s) }

func (r *reader) pop() { r.path = r.path[:len(r.path)-1] }

// peek returns the first byte of the next token.
func (r *reader) peek() byte {
	for {
		switch c := r.data[r.next]; c {
		case ' ', '\t', '\r', '\n':
			r.next++
		default:
			return c
		}
	}
}

// more moves past a comma, or past the end of a list or object, and reports
// whether an item follows.
func (r *reader) more(end byte) bool {
	switch r.peek() {
	case end:
		r.next++
		return false
	case ',':
		r.next++
	}
	return true
}

// raw moves past a string and returns it with its quotes.
func (r *reader) raw() []byte {
	start := r.next
	for r.next++; r.data[r.next] != '"'; r.next++ {
		if r.data[r.next] == '\\' {
			r.next++
		}
	}
	r.next++
	return r.data[start:r.next]
}

func (r *reader) text() string {
	raw := r.raw()
	if bytes.IndexByte(raw, '\\') < 0 {
		return string(raw[1 : len(raw)-1])
	}
	var res string
	_ = json.Unmarshal(raw, &res) // The syntax was checked before.
	return res
}

// word moves past a number, true, false or null and returns it.
func (r *reader) word() string {
	start := r.next
	for r.next < len(r.data) && !strings.ContainsRune(" \t\r\n,]}", rune(r.data[r.next])) {
		r.next++
	}
	return string(r.data[start:r.next])
}

// skip moves past a value of any kind.
func (r *reader) skip() {
	depth := 0
	for {
		switch r.peek() {
		case '{', '[':
			depth++
			r.next++
		case '}', ']':
			depth--
			r.next++
		case ',', ':':
			r.next++
		case '"':
			r.raw()
		default:
			r.word()
		}
		if depth == 0 {
			return
		}
	}
}

// decode stores the next value in target, which is addressable.
func (r *reader) decode(target reflect.Value) {
	c := r.peek()
	switch t := target.Addr().Interface().(type) {
	case *string:
		if c != '"' {
			r.mismatch("a string")
			return
		}
		*t = r.text()
	case *bool:
		if c != 't' && c != 'f' {
			r.mismatch("true or false")
			return
		}
		*t = r.word() == "true"
	case *time.Duration:
		r.duration(t)
	case *uint64, *int, *float64:
		r.number(t)
	default:
		if target.Kind() == reflect.Slice {
			r.list(target)
		} else {
			r.object(target)
		}
	}
}

// list leaves target nil when the list is empty, so that an empty list and none
// are the same.
func (r *reader) list(target reflect.Value) {
	if r.peek() != '[' {
		r.mismatch("a list")
		return
	}
	r.next++
	for i := 0; r.more(']'); i++ {
		if i == target.Cap() {
			target.Grow(1)
		}
		target.SetLen(i + 1)
		r.push(step{index: i})
		r.decode(target.Index(i))
		r.pop()
	}
}

// number stores the next value in target, a pointer to a number.
func (r *reader) number(target any) {
	if c := r.peek(); c != '-' && (c < '0' || c > '9') {
		r.mismatch("a number")
		return
	}
	var err error
	kind, word := "whole number", r.word()
	switch t := target.(type) {
	case *uint64:
		*t, err = strconv.ParseUint(word, 10, 64)
	case *int:
		*t, err = strconv.Atoi(word)
	case *float64:
		kind = "number"
		*t, err = strconv.ParseFloat(word, 64)
	}
	if err != nil {
		r.problem("%s is not a %s in range", word, kind)
	}
}

func (r *reader) duration(target *time.Duration) {
	if r.peek() != '"' {
		r.mismatch(`a string with a unit, such as "30s"`)
		return
	}
	s := r.text()
	d, err := time.ParseDuration(s)
	if err != nil {
		r.problem(`%q is not a duration with a unit, such as "500ms" or "30s"`, s)
		return
	}
	*target = d
}

func (r *reader) object(target reflect.Value) {
	if r.peek() != '{' {
		r.mismatch("an object")
		return
	}
	r.next++
	names := r.fields(target.Type())
	var seen uint64 // A bit for each field; no struct here has 64.
	for r.more('}') {
		r.peek()
		name := r.text()
		r.peek()
		r.next++ // the colon
		r.push(step{field: name})
		switch i := slices.Index(names, name); {
		case i < 0 || name == "":
			r.problem("field does not exist")
			r.skip()
		case seen&(1<<i) != 0:
			r.problem("key %q is given twice", name)
			r.skip()
		default:
			seen |= 1 << i
			r.decode(target.Field(i))
		}
		r.pop()
	}
}

func (r *reader) fields(t reflect.Type) []string {
	res, found := r.names[t]
	if !found {
		res = make([]string, t.NumField())
		for i := range res {
			res[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
		}
		r.names[t] = res
	}
	return res
}

// mismatch records that the next value has the wrong type and moves past it.
func (r *reader) mismatch(want string) {
	got := "a number"
	switch r.peek() {
	case '{':
		got = "an object"
	case '[':
		got = "a list"
	case '"':
		got = "a string"
	case 't', 'f':
		got = "true or false"
	case 'n':
		got = "null"
	}
	r.problem("must be %s, is %s", want, got)
	r.skip()
}
