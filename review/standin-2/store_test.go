package standin2

import (
	"encoding/base64"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It loses nothing that it has acknowledged.
type store struct {
	world   *world
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	// history has all changes.
	history []item
	changed chan struct{}
}

// item is a key of the store, or a change of it.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
}

func newStore(w *world) *store {
	s := &store{world: w, revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.1.1:0")
	must(err)
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(value)}
	s.mu.Lock()
	s.revision++
	it.Revision = s.revision
	it.Created = s.revision
	if old, found := s.items[it.Key]; found {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.world.logf("store: %s changed, revision %d", it.Key, it.Revision)
	return time.Now()
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(v))
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, found := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !found {
		respond(w, http.StatusNotFound, map[string]any{"as_of": asOf})
		return
	}
	respond(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	s.mu.Lock()
	entries := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > r.URL.Query().Get("after") {
			entries = append(entries, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-expired:
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
