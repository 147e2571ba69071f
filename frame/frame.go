// Package frame defines the messages between entries and agents and their
// encoding: a four-byte length, a one-byte kind and a CBOR map. Start from
// [Write] and [Read].
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Protocol is the protocol name and version that peers negotiate by ALPN.
const Protocol = "damasktrail/1"

// MaxSize is the maximum size of a frame body in bytes. It leaves room for a whole
// document of 1 MB.
const MaxSize = 2 << 20

// headerBytes is the size of the length and the kind of a frame.
const headerBytes = 5

// Kind identifies the type of a message.
type Kind byte

// The kinds of messages. The values are part of the protocol and are never
// reused.
const (
	KindOpen      Kind = 1
	KindHead      Kind = 2
	KindChunk     Kind = 3
	KindEnd       Kind = 4
	KindRefuse    Kind = 5
	KindHello     Kind = 6
	KindHeartbeat Kind = 7
	KindPull      Kind = 8
	KindChange    Kind = 9
	KindWhole     Kind = 10
	KindIssue     Kind = 11
	KindTicket    Kind = 12
	KindLeave     Kind = 13
)

// SizeError reports a frame whose body exceeds [MaxSize].
type SizeError struct {
	// Size is the size of the body in bytes.
	Size uint64
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d", e.Size, MaxSize)
}

// Raw is a received frame whose body is not decoded yet.
type Raw struct {
	// Kind is the kind of the message.
	Kind Kind
	// Body is the CBOR encoding of the message.
	Body []byte
}

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constants, so an error is a bug.
	}
	return mode
}

// Append appends the frame of a message to b.
func Append(b []byte, kind Kind, message any) (res []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode frame of kind %d: %w", kind, err)
		}
	}()
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxSize {
		return nil, &SizeError{Size: uint64(len(body))}
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, byte(kind))
	return append(b, body...), nil
}

// Write encodes a message and writes its frame with a single call of w.Write.
func Write(w io.Writer, kind Kind, message any) error {
	b, err := Append(nil, kind, message)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// Read reads one frame. It returns [io.EOF] only at a frame boundary, and
// [io.ErrUnexpectedEOF] within a frame.
func Read(r io.Reader) (res Raw, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Raw{}, err
	}
	return readBody(r, header, nil)
}

// readBody reads the body that follows header. It stores the body in buffer, or
// allocates when the capacity of buffer is too small.
func readBody(r io.Reader, header [headerBytes]byte, buffer []byte) (res Raw, err error) {
	size := binary.BigEndian.Uint32(header[:4])
	if size > MaxSize {
		return Raw{}, &SizeError{Size: uint64(size)}
	}
	body := buffer[:0]
	if int(size) > cap(body) {
		body = make([]byte, size)
	}
	body = body[:size]
	if _, err := io.ReadFull(r, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return Raw{}, err
	}
	return Raw{Kind: Kind(header[4]), Body: body}, nil
}

// KindError reports a frame of an unexpected kind.
type KindError struct {
	// Want and Got are the expected and the received kind.
	Want, Got Kind
}

// Error implements error.
func (e *KindError) Error() string {
	return fmt.Sprintf("frame of kind %d where kind %d is expected", e.Got, e.Want)
}

// Decode decodes a frame of the kind want into T. It returns a [KindError] for a
// frame of another kind.
func Decode[T any](r Raw, want Kind) (res T, err error) {
	if r.Kind != want {
		return res, &KindError{Want: want, Got: r.Kind}
	}
	if err := decMode.Unmarshal(r.Body, &res); err != nil {
		return res, fmt.Errorf("decode frame of kind %d: %w", want, err)
	}
	return res, nil
}
