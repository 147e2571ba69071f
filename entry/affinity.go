package entry

import (
	"bytes"
	"container/list"
	"hash/fnv"
	"sync"
)

const (
	// firstPrefix is the shortest prefix in bytes that is remembered; each further
	// one is twice as long. Engines cache blocks of at least some tens of tokens.
	firstPrefix = 256
	// maxPrefixes bounds the prefixes of one prompt: the longest has 1 MB.
	maxPrefixes = 13
	// maxRemembered bounds the memory: about 100 bytes for each prefix.
	maxRemembered = 1 << 15
)

// prefix is the start of a prompt.
type prefix struct {
	digest uint64
	length int
}

// prefixesOf returns the prefixes of a request's prompt, the shortest first. The
// last is the whole prompt when it is longer than the first.
func prefixesOf(target string, body []byte) []prefix {
	text := promptOf(body)
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))
	var res []prefix
	done := 0
	for length := firstPrefix; length <= len(text) && len(res) < maxPrefixes; length *= 2 {
		_, _ = h.Write(text[done:length])
		done = length
		res = append(res, prefix{digest: h.Sum64(), length: length})
	}
	return res
}

// promptOf returns the body from the messages or the prompt on.
func promptOf(body []byte) []byte {
	for _, name := range []string{`"messages"`, `"prompt"`} {
		if i := bytes.Index(body, []byte(name)); i >= 0 {
			return body[i:]
		}
	}
	return body
}

// affinity remembers which agent last processed a prefix, so that a request
// with the same prefix can use the endpoint's cache. It is learned from the
// entry's own answers; endpoints publish cache events late and with gaps. It is
// safe for use by several goroutines.
type affinity struct {
	mu sync.Mutex
	// items maps digests to elements of order, whose front was used last.
	items map[uint64]*list.Element
	order *list.List
}

type remembered struct {
	digest uint64
	agent  string
}

func newAffinity() *affinity {
	return &affinity{items: map[uint64]*list.Element{}, order: list.New()}
}

// learn records that the agent processed a prompt with the given prefixes.
func (a *affinity) learn(prefixes []prefix, agent string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range prefixes {
		if e, found := a.items[p.digest]; found {
			e.Value = remembered{p.digest, agent}
			a.order.MoveToFront(e)
			continue
		}
		a.items[p.digest] = a.order.PushFront(remembered{p.digest, agent})
	}
	for a.order.Len() > maxRemembered {
		oldest := a.order.Remove(a.order.Back())
		delete(a.items, oldest.(remembered).digest)
	}
}

// shares returns, per agent, the share of a prompt of the given length that its
// endpoint has probably cached.
func (a *affinity) shares(prefixes []prefix, length int) map[string]float64 {
	if len(prefixes) == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var res map[string]float64
	for _, p := range prefixes {
		e, found := a.items[p.digest]
		if !found {
			break // A longer prefix is not known when a shorter one is not.
		}
		if res == nil {
			res = map[string]float64{}
		}
		res[e.Value.(remembered).agent] = float64(p.length) / float64(length)
	}
	return res
}
