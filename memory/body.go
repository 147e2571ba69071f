package memory

import (
	"errors"
	"io"
)

const (
	// blockBytes is the size of the blocks of small bodies, largeBlockBytes that of the
	// blocks beyond the first largeBlockBytes of a body. A buffer that doubles would leave
	// more garbage than the body has bytes.
	blockBytes      = 16 << 10
	largeBlockBytes = 64 << 10
)

// ErrTooLarge reports a body that exceeds its limit.
var ErrTooLarge = errors.New("body exceeds the limit")

// ReadBody reads a body to its end in blocks, which are charged before they are filled.
// announced is the length of the body, negative if it is unknown; limit bounds it unless it
// is zero. It returns ErrTooLarge once the limit is passed, without reading on.
func (h *Hold) ReadBody(r io.Reader, announced, limit int64) ([][]byte, error) {
	if limit > 0 && announced > limit {
		return nil, ErrTooLarge
	}
	for total := int64(0); ; {
		size := int64(blockBytes)
		if total >= largeBlockBytes {
			size = largeBlockBytes
		}
		if announced >= 0 {
			// One byte more than announced is never filled; the reader reports the end.
			size = min(size, max(announced-total, 1))
		}
		if err := h.Charge(size); err != nil {
			return nil, err
		}
		block, err := Fill(r, make([]byte, size))
		total += int64(len(block))
		switch {
		case limit > 0 && total > limit:
			return nil, ErrTooLarge
		case !h.append(block):
			return nil, ErrEnded
		case errors.Is(err, io.EOF):
			return h.body(), nil
		case err != nil:
			return nil, err
		}
	}
}

// ReadAll reads a body like ReadBody and returns it in one piece. For a moment it holds the
// body twice, which is charged.
func (h *Hold) ReadAll(r io.Reader, announced, limit int64) ([]byte, error) {
	blocks, err := h.ReadBody(r, announced, limit)
	if err != nil || len(blocks) == 0 {
		return nil, err
	}
	if len(blocks) == 1 {
		return blocks[0], nil
	}
	size := 0
	for _, block := range blocks {
		size += len(block)
	}
	if err := h.Charge(int64(size)); err != nil {
		return nil, err
	}
	res := make([]byte, 0, size)
	for _, block := range blocks {
		res = append(res, block...)
	}
	if !h.replace(int64(size)) {
		return nil, ErrEnded
	}
	return res, nil
}

// replace drops the blocks and charges size bytes in their place.
func (h *Hold) replace(size int64) bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.ended || h.closed {
		return false
	}
	h.blocks = nil
	h.account.add(h, size-h.size)
	return true
}

// Fill reads until the block is full or an error occurs, and returns the part that is
// filled.
func Fill(r io.Reader, block []byte) ([]byte, error) {
	for n := 0; ; {
		m, err := r.Read(block[n:])
		n += m
		if err != nil || n == len(block) {
			return block[:n], err
		}
	}
}

// append keeps a block with the hold, so that it can be freed when the hold is ended.
func (h *Hold) append(block []byte) bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if len(block) > 0 && !h.ended {
		h.blocks = append(h.blocks, block)
	}
	return !h.ended
}

func (h *Hold) body() [][]byte {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.blocks
}
