package frame

import (
	"encoding/binary"
	"math"
)

// The encoding of a chunk that the CBOR library makes: a map of two pairs, the
// position as an unsigned integer and the data as a byte string.
const (
	chunkPosition = "\xa2\x68position"
	chunkData     = "\x64data"

	majorUnsigned = 0x00
	majorBytes    = 0x40
	majorMask     = 0xe0
)

// maxChunkOverhead is the longest encoding of a chunk around its data.
const maxChunkOverhead = len(chunkPosition) + 9 + len(chunkData) + 9

// AppendChunk adds an encoded chunk to b. The result is that of [Append] with
// [KindChunk], without reflection. Nil data becomes an empty byte string.
func AppendChunk(b []byte, c Chunk) ([]byte, error) {
	if len(c.Data) > MaxSize-maxChunkOverhead {
		return Append(b, KindChunk, c)
	}
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(KindChunk))
	b = append(b, chunkPosition...)
	b = appendArgument(b, majorUnsigned, c.Position)
	b = append(b, chunkData...)
	b = appendArgument(b, majorBytes, uint64(len(c.Data)))
	b = append(b, c.Data...)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-headerSize)) // #nosec G115 -- at most MaxSize
	return b, nil
}

// appendArgument adds the shortest head of a CBOR item of the given major type.
func appendArgument(b []byte, major byte, value uint64) []byte {
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

// DecodeChunk decodes a frame that must be a chunk. Its data shares memory with
// the body of r. A chunk in the encoding of [Append] is decoded without
// reflection; any other goes through [Decode], which applies the same rules as
// for all messages.
func DecodeChunk(r Raw) (Chunk, error) {
	if r.Kind == KindChunk {
		if res, ok := plainChunk(r.Body); ok {
			return res, nil
		}
	}
	return Decode[Chunk](r, KindChunk)
}

func plainChunk(b []byte) (res Chunk, ok bool) {
	if len(b) < len(chunkPosition) || string(b[:len(chunkPosition)]) != chunkPosition {
		return res, false
	}
	position, b, ok := argument(b[len(chunkPosition):], majorUnsigned)
	if !ok || len(b) < len(chunkData) || string(b[:len(chunkData)]) != chunkData {
		return res, false
	}
	size, b, ok := argument(b[len(chunkData):], majorBytes)
	if !ok || size != uint64(len(b)) {
		return res, false
	}
	return Chunk{Position: position, Data: b}, true
}

// argument splits off the head of a CBOR item of the given major type.
func argument(b []byte, major byte) (value uint64, rest []byte, ok bool) {
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
