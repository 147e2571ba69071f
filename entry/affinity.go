package entry

import (
	"bytes"
	"container/list"
	"hash/fnv"
	"sync"
)

const (
	// minPrefixBytes is the length of the shortest prefix that is recorded; each
	// further prefix is twice as long. Engines cache blocks of at least some tens
	// of tokens.
	minPrefixBytes = 256
	// maxPrefixes bounds the prefixes of one prompt; the longest has 1 MB.
	maxPrefixes = 13
	// maxAffinityEntries bounds the memory use, which is about 100 bytes per
	// prefix.
	maxAffinityEntries = 1 << 15
)

// prefix is the beginning of a prompt: a digest of it and the target, and its
// length in bytes.
type prefix struct {
	digest uint64
	length int
}

// prefixesOf returns the prefixes of a request's prompt, shortest first. Text
// after the last of the doubling lengths is ignored.
func prefixesOf(target string, body []byte) []prefix {
	text := promptOf(body)
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))
	var res []prefix
	hashed := 0
	for length := minPrefixBytes; length <= len(text) && len(res) < maxPrefixes; length *= 2 {
		_, _ = h.Write(text[hashed:length])
		hashed = length
		res = append(res, prefix{digest: h.Sum64(), length: length})
	}
	return res
}

// promptOf returns the body from the field messages or prompt onwards, or the
// whole body when it has neither.
func promptOf(body []byte) []byte {
	for _, name := range []string{`"messages"`, `"prompt"`} {
		if i := bytes.Index(body, []byte(name)); i >= 0 {
			return body[i:]
		}
	}
	return body
}

// affinity is an LRU map from prompt prefixes to the agent that last processed
// them, so that a request with the same prefix can use the endpoint's cache. It
// is learned from the entry's own answers because endpoints publish cache
// events late and with gaps. It is safe for use by several goroutines.
type affinity struct {
	mu sync.Mutex
	// items maps digests to elements of lru, whose front is the most recently
	// used.
	items map[uint64]*list.Element
	lru   *list.List
}

type affinityEntry struct {
	digest uint64
	agent  string
}

func newAffinity() *affinity {
	return &affinity{items: map[uint64]*list.Element{}, lru: list.New()}
}

// record notes that the agent processed a prompt with the given prefixes.
func (a *affinity) record(prefixes []prefix, agent string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range prefixes {
		if e, found := a.items[p.digest]; found {
			e.Value = affinityEntry{p.digest, agent}
			a.lru.MoveToFront(e)
			continue
		}
		a.items[p.digest] = a.lru.PushFront(affinityEntry{p.digest, agent})
	}
	for a.lru.Len() > maxAffinityEntries {
		oldest := a.lru.Remove(a.lru.Back())
		delete(a.items, oldest.(affinityEntry).digest)
	}
}

// cachedShares returns, for each agent, the share of a prompt of the given
// length in bytes that its endpoint has probably cached.
func (a *affinity) cachedShares(prefixes []prefix, length int) map[string]float64 {
	if len(prefixes) == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var res map[string]float64
	for _, p := range prefixes {
		e, found := a.items[p.digest]
		if !found {
			break // Longer prefixes are unknown if a shorter one is.
		}
		if res == nil {
			res = map[string]float64{}
		}
		res[e.Value.(affinityEntry).agent] = float64(p.length) / float64(length)
	}
	return res
}
