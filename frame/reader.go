package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// readerSize is the buffer of a [Reader]. About nine frames with one token each
// fit, and the 264 control streams of an entry take 0.5 MB.
const readerSize = 2 << 10

// Reader reads frames through a buffer, so that one read of the stream can serve
// several frames. It is used by one goroutine.
type Reader struct {
	buffer *bufio.Reader
	// chunk is reused for the bodies of chunks; it grows to at most readerSize.
	chunk []byte
}

// NewReader returns a reader of the frames of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, readerSize)}
}

// Read reads one frame like the function [Read]. The body of a frame of
// [KindChunk] is valid until the next call.
func (r *Reader) Read() (res Raw, err error) {
	peeked, err := r.buffer.Peek(headerSize)
	if err != nil {
		if errors.Is(err, io.EOF) && len(peeked) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return Raw{}, err
	}
	header := [headerSize]byte(peeked)
	if _, err := r.buffer.Discard(headerSize); err != nil {
		return Raw{}, err
	}
	if Kind(header[4]) != KindChunk {
		return readBody(r.buffer, header, nil)
	}
	res, err = readBody(r.buffer, header, r.chunk)
	if cap(res.Body) <= readerSize {
		r.chunk = res.Body
	}
	return res, err
}

// Ready reports whether the next frame is buffered as a whole, so that Read
// returns it without waiting.
func (r *Reader) Ready() bool {
	n := r.buffer.Buffered()
	if n < headerSize {
		return false
	}
	header, err := r.buffer.Peek(headerSize)
	return err == nil && uint64(n) >= headerSize+uint64(binary.BigEndian.Uint32(header))
}
