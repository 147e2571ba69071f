package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer, as on the sheets.
const storeDelay = 4 * time.Millisecond

// item is one key of the store, or a change of it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// snapshot is a copy of the store.
type snapshot struct {
	items    map[string]item
	log      []item
	revision uint64
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	log      []item // all changes, oldest first
	revision uint64
	era      int
	// staleness is the age of the reads that may be old (serializable); times has the time of
	// each revision.
	staleness time.Duration
	times     map[uint64]time.Time
	changed   chan struct{} // closed at the next change
	server    *http.Server
}

func newStore(address string) *store {
	return &store{address: address, items: map[string]item{}, revision: 100, era: 1, times: map[uint64]time.Time{}, changed: make(chan struct{})}
}

// start begins to answer.
func (s *store) start() error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(wire.Read, s.key)
	mux.HandleFunc(wire.Range, s.list)
	mux.HandleFunc(wire.Watch, s.watch)
	s.server = &http.Server{Handler: mux}
	background.Go(func() { _ = s.server.Serve(l) })
	return nil
}

// stop ends all connections; new ones are refused.
func (s *store) stop() { _ = s.server.Close() }

// put writes a key and returns its revision: the acknowledgement.
func (s *store) put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: data, Revision: s.revision, Created: created}
	s.items[key] = i
	s.record(i)
	return s.revision
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change to the log. It is called with mu held.
func (s *store) record(i item) {
	s.log = append(s.log, i)
	s.times[i.Revision] = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the bytes under a key.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// copy returns a copy of the store.
func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := snapshot{items: map[string]item{}, log: append([]item(nil), s.log...), revision: s.revision}
	for k, v := range s.items {
		res.items[k] = v
	}
	return res
}

// restore brings a copy back. It is called while the store is stopped.
func (s *store) restore(c snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.log, s.revision = c.items, c.log, c.revision
	s.era++
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !found {
		s.answer(w, http.StatusNotFound, map[string]string{"error": "no such key"})
		return
	}
	s.answer(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{i, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	entries := []item{}
	s.mu.Lock()
	items, asOf := s.items, s.revision
	if r.URL.Query().Get("serializable") == "1" {
		items, asOf = s.asOf(time.Now().Add(-s.staleness))
	}
	for k, i := range items {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, i)
		}
	}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "as_of": asOf})
}

// asOf returns the items as they were at a time, and the revision of then. It is called with
// mu held.
func (s *store) asOf(at time.Time) (items map[string]item, revision uint64) {
	items = map[string]item{}
	for _, i := range s.log {
		if s.times[i.Revision].After(at) {
			break
		}
		revision = i.Revision
		if i.Deleted {
			delete(items, i.Key)
		} else {
			items[i.Key] = i
		}
	}
	return items, revision
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		asOf, changed := s.revision, s.changed
		events := []item{}
		for _, i := range s.log {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after > asOf {
			// The store doesn't have this revision.
			s.answer(w, http.StatusGone, map[string]string{"error": "no such revision"})
			return
		}
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
