package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// readerBufferBytes is the buffer size of a [Reader]. The buffer holds about nine
// frames of one token each, and the 264 control streams of an entry use 0.5 MB.
const readerBufferBytes = 2 << 10

// Reader reads frames through a buffer, so that one read of the stream can return
// several frames. It is not safe for concurrent use.
type Reader struct {
	buffer *bufio.Reader
	// chunkBody is reused for the bodies of chunks and has a capacity of at most
	// readerBufferBytes.
	chunkBody []byte
}

// NewReader returns a [Reader] of the frames of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, readerBufferBytes)}
}

// Read reads one frame like the function [Read]. The body of a frame of
// [KindChunk] is valid until the next call.
func (r *Reader) Read() (res Raw, err error) {
	peeked, err := r.buffer.Peek(headerBytes)
	if err != nil {
		if errors.Is(err, io.EOF) && len(peeked) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return Raw{}, err
	}
	header := [headerBytes]byte(peeked)
	if _, err := r.buffer.Discard(headerBytes); err != nil {
		return Raw{}, err
	}
	if Kind(header[4]) != KindChunk {
		return readBody(r.buffer, header, nil)
	}
	res, err = readBody(r.buffer, header, r.chunkBody)
	if cap(res.Body) <= readerBufferBytes {
		r.chunkBody = res.Body
	}
	return res, err
}

// Ready reports whether the whole next frame is buffered, so that Read returns it
// without blocking.
func (r *Reader) Ready() bool {
	n := r.buffer.Buffered()
	if n < headerBytes {
		return false
	}
	header, err := r.buffer.Peek(headerBytes)
	return err == nil && uint64(n) >= headerBytes+uint64(binary.BigEndian.Uint32(header))
}
