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
	p.List = append(p.List, Problem{Path: l.String(), Message: fmt.Sprintf(format, args...)})
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
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		line, column := position(data, err)
		p.Add(nil, "line %d, column %d: %v", line, column, err)
		return false
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	r := &reader{decoder: d, problems: p}
	r.decode(nil, r.tree(nil), reflect.ValueOf(target).Elem())
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

// member is one field of a JSON object.
type member struct {
	name  string
	value any
}

type reader struct {
	decoder  *json.Decoder
	problems *Problems
}

// tree reads one value as []member, []any, string, json.Number, bool or nil.
func (r *reader) tree(l *Location) any {
	token, err := r.decoder.Token()
	if err != nil {
		return nil // The syntax was checked before.
	}
	switch token {
	case json.Delim('{'):
		res := []member{}
		seen := map[string]bool{}
		for r.decoder.More() {
			key, _ := r.decoder.Token()
			name, _ := key.(string)
			at := l.At(name)
			if seen[name] {
				r.problems.Add(at, "key %q is given twice", name)
			}
			seen[name] = true
			res = append(res, member{name, r.tree(at)})
		}
		_, _ = r.decoder.Token()
		return res
	case json.Delim('['):
		res := []any{}
		for r.decoder.More() {
			res = append(res, r.tree(l.Element(len(res))))
		}
		_, _ = r.decoder.Token()
		return res
	}
	return token
}

// decode stores a value of tree in target, which is addressable.
func (r *reader) decode(l *Location, value any, target reflect.Value) {
	ok, want := true, ""
	switch t := target.Addr().Interface().(type) {
	case *string:
		want = "a string"
		*t, ok = value.(string)
	case *bool:
		want = "true or false"
		*t, ok = value.(bool)
	case *time.Duration:
		r.duration(l, value, t)
	case *uint64, *int, *float64:
		r.number(l, value, t)
	default:
		if target.Kind() == reflect.Slice {
			r.list(l, value, target)
		} else {
			r.object(l, value, target)
		}
	}
	if !ok {
		r.mismatch(l, want, value)
	}
}

func (r *reader) list(l *Location, value any, target reflect.Value) {
	list, ok := value.([]any)
	if !ok {
		r.mismatch(l, "a list", value)
		return
	}
	if len(list) == 0 {
		return // An empty list and none have the same digest.
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list), len(list)))
	for i, v := range list {
		r.decode(l.Element(i), v, target.Index(i))
	}
}

// number stores a value in target, a pointer to a number.
func (r *reader) number(l *Location, value, target any) {
	n, ok := value.(json.Number)
	if !ok {
		r.mismatch(l, "a number", value)
		return
	}
	var err error
	kind := "whole number"
	switch t := target.(type) {
	case *uint64:
		*t, err = strconv.ParseUint(n.String(), 10, 64)
	case *int:
		*t, err = strconv.Atoi(n.String())
	case *float64:
		kind = "number"
		*t, err = n.Float64()
	}
	if err != nil {
		r.problems.Add(l, "%s is not a %s in range", n, kind)
	}
}

func (r *reader) duration(l *Location, value any, target *time.Duration) {
	s, ok := value.(string)
	if !ok {
		r.mismatch(l, `a string with a unit, such as "30s"`, value)
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.problems.Add(l, `%q is not a duration with a unit, such as "500ms" or "30s"`, s)
		return
	}
	*target = d
}

func (r *reader) object(l *Location, value any, target reflect.Value) {
	members, ok := value.([]member)
	if !ok {
		r.mismatch(l, "an object", value)
		return
	}
	t := target.Type()
	for _, m := range members {
		field := -1
		for i := range t.NumField() {
			if name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); name != "" && name == m.name {
				field = i
			}
		}
		if field < 0 {
			r.problems.Add(l.At(m.name), "field does not exist")
			continue
		}
		r.decode(l.At(m.name), m.value, target.Field(field))
	}
}

func (r *reader) mismatch(l *Location, want string, value any) {
	got := "null"
	switch value.(type) {
	case []member:
		got = "an object"
	case []any:
		got = "a list"
	case string:
		got = "a string"
	case json.Number:
		got = "a number"
	case bool:
		got = "true or false"
	}
	r.problems.Add(l, "must be %s, is %s", want, got)
}
