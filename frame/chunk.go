package frame

import (
	"encoding/binary"
	"math"
)

// The parts of a [Chunk] as the CBOR library encodes it: a map of two pairs, with
// the position as an unsigned integer and the data as a byte string.
const (
	chunkPosition = "\xa2\x68position"
	chunkData     = "\x64data"

	majorUnsigned = 0x00
	majorBytes    = 0x40
	majorMask     = 0xe0
)

// maxChunkOverhead is the maximum number of bytes that the encoding of a chunk
// adds to its data.
const maxChunkOverhead = len(chunkPosition) + 9 + len(chunkData) + 9

// AppendChunk appends the frame of a chunk to b. The bytes are those of [Append]
// with [KindChunk], but are encoded without reflection. Nil data becomes an empty
// byte string.
func AppendChunk(b []byte, c Chunk) ([]byte, error) {
	if len(c.Data) > MaxSize-maxChunkOverhead {
		return Append(b, KindChunk, c)
	}
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(KindChunk))
	b = append(b, chunkPosition...)
	b = appendItemHead(b, majorUnsigned, c.Position)
	b = append(b, chunkData...)
	b = appendItemHead(b, majorBytes, uint64(len(c.Data)))
	b = append(b, c.Data...)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-headerBytes)) // #nosec G115 -- at most MaxSize
	return b, nil
}

// appendItemHead appends the shortest head of a CBOR data item: its major type
// and its argument, value.
func appendItemHead(b []byte, major byte, value uint64) []byte {
	switch {
	case value < 24:
		return append(b, major|byte(value))
	case value <= math.MaxUint8:
		return append(b, major|24, byte(value))
	case value <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, major|25), uint16(value))
	case value <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, major|26), uint32(value))
	}
	return binary.BigEndian.AppendUint64(append(b, major|27), value)
}

// DecodeChunk decodes a frame that must be a chunk. The data of the result may
// share memory with the body of r. A chunk in the encoding of [Append] is decoded
// without reflection. Any other goes through [Decode], so that the same rules
// apply as to all messages.
func DecodeChunk(r Raw) (Chunk, error) {
	if r.Kind == KindChunk {
		if res, ok := decodeChunkFast(r.Body); ok {
			return res, nil
		}
	}
	return Decode[Chunk](r, KindChunk)
}

// decodeChunkFast decodes a chunk in the encoding of [Append] without reflection.
// It reports false for any other encoding.
func decodeChunkFast(b []byte) (res Chunk, ok bool) {
	if len(b) < len(chunkPosition) || string(b[:len(chunkPosition)]) != chunkPosition {
		return res, false
	}
	position, b, ok := cutItemHead(b[len(chunkPosition):], majorUnsigned)
	if !ok || len(b) < len(chunkData) || string(b[:len(chunkData)]) != chunkData {
		return res, false
	}
	size, b, ok := cutItemHead(b[len(chunkData):], majorBytes)
	if !ok || size != uint64(len(b)) {
		return res, false
	}
	return Chunk{Position: position, Data: b}, true
}

// cutItemHead splits off the head of a CBOR item of the given major type.
func cutItemHead(b []byte, major byte) (value uint64, rest []byte, ok bool) {
	if len(b) == 0 || b[0]&majorMask != major {
		return 0, nil, false
	}
	info, b := b[0]&^majorMask, b[1:]
	switch {
	case info < 24:
		return uint64(info), b, true
	case info == 24 && len(b) >= 1:
		return uint64(b[0]), b[1:], true
	case info == 25 && len(b) >= 2:
		return uint64(binary.BigEndian.Uint16(b)), b[2:], true
	case info == 26 && len(b) >= 4:
		return uint64(binary.BigEndian.Uint32(b)), b[4:], true
	case info == 27 && len(b) >= 8:
		return binary.BigEndian.Uint64(b), b[8:], true
	}
	return 0, nil, false
}
