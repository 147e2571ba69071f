// Package memory accounts for the bytes that clients hold in a process and bounds their
// sum. Start from [New]: a [Hold] is opened for each request and each header, and charged
// as bytes arrive. When the account is full, an incomplete body is ended to make room.
package memory

import (
	"errors"
	"math"
	"sync"
	"time"

	"damasktrail.dev"
)

const (
	// SmallBytes is the size up to which a hold may use the reserved share.
	SmallBytes = 128 << 10
	// reservedPart is the part of the account that only holds of up to SmallBytes use: one
	// of reservedPart parts. Ordinary bodies have 17 to 100 kB.
	reservedPart = 4
	// clientPart is the part of the account that one client leaves to the others.
	clientPart = 4
)

var (
	// ErrFull reports that there is no room and that no room can be made.
	ErrFull = errors.New("clients hold as many bytes as this process has room for")
	// ErrEnded reports that a hold was ended to make room for others.
	ErrEnded = errors.New("ended to make room for others")
)

// Account is the sum of the bytes that clients hold. It is safe for use by several
// goroutines.
type Account struct {
	clock damasktrail.Clock
	// limit is the size of the account, large the part for holds above SmallBytes.
	limit, large int64

	mu sync.Mutex
	// used is the sum of the sizes of all holds. It exceeds limit only by bytes that were
	// added without a check.
	used    int64
	ended   int64
	clients map[string]*client
}

// client is an organisation or an address. It exists while it has holds.
type client struct {
	name  string
	used  int64
	holds int
	// incomplete has the holds that can be ended.
	incomplete map[*Hold]struct{}
}

// New returns an account of limit bytes, or without limit if it is zero.
func New(clock damasktrail.Clock, limit int64) *Account {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	return &Account{clock: clock, limit: limit, large: limit - limit/reservedPart, clients: map[string]*client{}}
}

// Used returns the number of bytes charged.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Ended returns the number of holds that were ended to make room.
func (a *Account) Ended() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}

// Hold is what one request or header of a client holds. Its methods may be called from
// several goroutines.
type Hold struct {
	account *Account
	client  *client
	opened  time.Time
	// end makes the goroutine that reads for the hold return. It is called at most once,
	// without locks.
	end func()

	// The fields below are guarded by the mutex of the account.
	size          int64
	blocks        [][]byte
	ended, closed bool
}

// Open returns an empty hold of a client, which can be ended until Complete.
func (a *Account) Open(name string, end func()) *Hold {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.clients[name]
	if c == nil {
		c = &client{name: name, incomplete: map[*Hold]struct{}{}}
		a.clients[name] = c
	}
	h := &Hold{account: a, client: c, opened: a.clock.Now(), end: end}
	c.holds++
	c.incomplete[h] = struct{}{}
	return h
}

// Charge adds n bytes. If there is no room for them, it ends incomplete holds of the client
// that holds most. It returns ErrFull if that makes no room, and ErrEnded after the hold
// itself was ended.
func (h *Hold) Charge(n int64) error {
	a := h.account
	a.mu.Lock()
	ended, err := a.charge(h, n)
	a.mu.Unlock()
	for _, v := range ended {
		v.end()
	}
	return err
}

func (a *Account) charge(h *Hold, n int64) (ended []*Hold, err error) {
	for {
		if h.ended || h.closed {
			return ended, ErrEnded
		}
		fits, own := a.fits(h, n)
		if fits {
			a.add(h, n)
			return ended, nil
		}
		v := a.victim(h, n, own)
		if v == nil || v == h {
			return ended, ErrFull
		}
		a.remove(v)
		v.ended = true
		a.ended++
		ended = append(ended, v)
	}
}

// fits reports whether n bytes fit, and if not, whether it is the share of the client that
// they exceed.
func (a *Account) fits(h *Hold, n int64) (fits, own bool) {
	limit := a.large
	if h.size+n <= SmallBytes {
		limit = a.limit
	}
	if h.client.used+n > limit-limit/clientPart {
		return false, true
	}
	return a.used+n <= limit, false
}

// victim returns the hold to end for n more bytes of h, nil if there is none. It belongs to
// the client that holds most, and never to one that holds less than that of h. If own is
// true, it belongs to the client of h.
func (a *Account) victim(h *Hold, n int64, own bool) *Hold {
	most := h.client
	total := h.client.used + n
	if !own {
		for _, c := range a.clients {
			if len(c.incomplete) > 0 && c.used > total {
				most, total = c, c.used
			}
		}
	}
	now := a.clock.Now()
	var res *Hold
	highest := -1.0
	for v := range most.incomplete {
		size := v.size
		if v == h {
			size += n
		}
		// An empty hold makes no room.
		if weight := float64(size) * (now.Sub(v.opened) + time.Millisecond).Seconds(); size > 0 && weight > highest {
			res, highest = v, weight
		}
	}
	return res
}

func (a *Account) add(h *Hold, n int64) {
	h.size += n
	h.client.used += n
	a.used += n
}

// remove gives back everything that a hold has. Nothing is charged to it afterwards.
func (a *Account) remove(h *Hold) {
	a.add(h, -h.size)
	h.blocks = nil
	delete(h.client.incomplete, h)
}

// Add adds n bytes that cannot be refused, such as those of a response that has begun.
func (h *Hold) Add(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.ended && !h.closed {
		h.account.add(h, n)
	}
}

// Release gives n bytes back.
func (h *Hold) Release(n int64) { h.Add(-n) }

// Complete reports whether the hold was not ended. It cannot be ended any more.
func (h *Hold) Complete() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.client.incomplete, h)
	return !h.ended
}

// Ended reports whether the hold was ended to make room.
func (h *Hold) Ended() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.ended
}

// Close gives back everything. Further calls have no effect.
func (h *Hold) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	a.remove(h)
	h.closed = true
	h.client.holds--
	if h.client.holds == 0 {
		delete(a.clients, h.client.name)
	}
}
