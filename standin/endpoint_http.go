package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxRequestBytes limits the body of a request to the stand-in.
const maxRequestBytes = 16 << 20

// streamHeader has the identifier by which a stream is resumed or cancelled.
const streamHeader = "Stream-Id"

type requestNumberKey struct{}

// orderState is an order as POST and GET /v1/orders encode it.
type orderState struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// serviceAnswer is the answer of a plain service.
type serviceAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Digest is the SHA-256 of the body in hexadecimal, Runs how often that body
	// has run.
	Digest string `json:"digest"`
	Runs   int    `json:"runs"`
}

// injectSilence returns a handler that numbers requests, leaves those unanswered
// that a fault silences, and passes the others to next.
func (e *Endpoint) injectSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.requests++
		r = r.WithContext(context.WithValue(r.Context(), requestNumberKey{}, e.requests))
		e.mu.Unlock()
		e.abortIfSilenced(r)
		next.ServeHTTP(w, r)
	})
}

// abortIfSilenced returns at once unless a fault silences the request. If one does,
// it waits until the caller has left or the endpoint is closed and aborts the
// handler without an answer.
func (e *Endpoint) abortIfSilenced(r *http.Request) {
	if !e.silenced(r) {
		return
	}
	// The HTTP server detects that the caller has left only after the body is read.
	io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBytes)) //nolint:errcheck // the caller is not answered
	select {
	case <-r.Context().Done():
	case <-e.tasks.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (e *Endpoint) silenced(r *http.Request) bool {
	connection, numbered := r.Context().Value(connectionNumberKey{}).(uint64)
	request, _ := r.Context().Value(requestNumberKey{}).(uint64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Silence == SilenceAll {
		return true
	}
	if numbered {
		return connection <= e.silentConnections
	}
	return request <= e.silentRequests
}

func (e *Endpoint) reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data) //nolint:errcheck // the caller is gone
}

func (e *Endpoint) fail(w http.ResponseWriter, status int, message string) {
	e.reply(w, status, map[string]any{
		"error": map[string]any{"message": message, "type": "invalid_request_error", "code": status},
	})
}

func (e *Endpoint) health(w http.ResponseWriter, _ *http.Request) {
	e.reply(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.clock.Now()
	at := now.Add(-e.options.LoadLag)
	sample := e.loadHistory[0]
	for _, l := range e.loadHistory {
		if l.at.After(at) {
			break
		}
		sample = l
	}
	e.mu.Unlock()
	if sample.at.After(at) {
		at = sample.at
	}
	e.reply(w, http.StatusOK, map[string]int64{
		"running": int64(sample.running),
		"waiting": int64(sample.waiting),
		"age":     now.Sub(at).Milliseconds(),
	})
}

func (e *Endpoint) models(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	names := append([]string{e.order.Model}, e.order.Adapters...)
	e.mu.Unlock()
	list := make([]map[string]string, 0, len(names))
	for _, n := range names {
		if n == "" {
			continue
		}
		list = append(list, map[string]string{"id": n, "object": "model", "owned_by": "standin"})
	}
	e.reply(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (e *Endpoint) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := e.parseAfter(r)
	if err != nil {
		e.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, e.clock.Now())
	e.mu.Unlock()
	e.reply(w, http.StatusOK, map[string]any{"events": events})
}

func (e *Endpoint) putOrder(w http.ResponseWriter, r *http.Request) {
	var o orderState
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		e.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if o.Adapters == nil {
		o.Adapters = []string{}
	}
	e.mu.Lock()
	held := e.order.Fence
	old := e.options.Fencing && o.Fence < held
	if !old {
		e.order = o
	}
	e.mu.Unlock()
	if old {
		e.reply(w, http.StatusConflict, map[string]uint64{"held": held})
		return
	}
	e.reply(w, http.StatusOK, o)
}

func (e *Endpoint) getOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	o := e.order
	e.mu.Unlock()
	e.reply(w, http.StatusOK, o)
}

// service answers any request as a plain service does.
func (e *Endpoint) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		e.fail(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	e.mu.Lock()
	if e.refuseNext() {
		e.mu.Unlock()
		e.fail(w, http.StatusServiceUnavailable, "refused by a fault")
		return
	}
	runs := e.recordRun(r.Header.Get(streamHeader), body)
	digest := e.report.Runs[len(e.report.Runs)-1].Digest
	marked := e.hasMarker(body)
	d := e.options.Step
	if e.fault.Slow > 0 {
		d = time.Duration(float64(d) * e.fault.Slow)
	}
	e.addServing(1)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.addServing(-1)
	}()
	if marked {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if e.clock.Sleep(r.Context(), d) != nil {
		return
	}
	e.abortIfSilenced(r)
	e.reply(w, http.StatusOK, serviceAnswer{Method: r.Method, Path: r.URL.Path, Digest: digest, Runs: runs})
}

// addServing adds change to the number of running requests of a plain service. The
// caller holds the lock.
func (e *Endpoint) addServing(change int) {
	e.serving += change
	e.recordLoad()
}

// complete starts a completion and answers with a stream or a whole answer.
func (e *Endpoint) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		e.fail(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		e.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	prompt := c.prompt()
	s := &stream{
		id:           r.Header.Get(streamHeader),
		chat:         strings.HasSuffix(r.URL.Path, "/chat/completions"),
		includeUsage: c.StreamOptions.IncludeUsage,
		model:        c.Model,
		tokens:       generate(prompt, c.tokenLimit()),
		hashes:       blockHashes(prompt),
		promptTokens: countTokens(prompt),
		readers:      1,
		changed:      make(chan struct{}),
	}
	e.mu.Lock()
	if e.order.Model != "" && c.Model != "" && c.Model != e.order.Model && !slices.Contains(e.order.Adapters, c.Model) {
		e.mu.Unlock()
		e.fail(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", c.Model))
		return
	}
	if e.refuseNext() {
		e.mu.Unlock()
		e.fail(w, http.StatusServiceUnavailable, "refused by a fault")
		return
	}
	if s.id == "" {
		s.id = fmt.Sprintf("request-%d", len(e.report.Runs)+1)
	}
	s.marked = e.hasMarker(body)
	e.recordRun(s.id, body)
	e.submit(s)
	e.mu.Unlock()
	defer e.detach(s)
	if c.Stream {
		e.follow(w, r, s, 0)
		return
	}
	e.writeWhole(w, r, s)
}

// resume continues a stream after a given event on a new connection.
func (e *Endpoint) resume(w http.ResponseWriter, r *http.Request) {
	after, err := e.parseAfter(r)
	if err != nil {
		e.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	s, found := e.streams[r.PathValue("id")]
	if found {
		s.readers++
	}
	e.mu.Unlock()
	if !found {
		e.fail(w, http.StatusNotFound, fmt.Sprintf("stream %q does not exist", r.PathValue("id")))
		return
	}
	defer e.detach(s)
	e.follow(w, r, s, int(after))
}

// cancelStream cancels a stream.
func (e *Endpoint) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, found := e.streams[r.PathValue("id")]
	if found {
		e.cancel(s)
	}
	e.mu.Unlock()
	if !found {
		e.fail(w, http.StatusNotFound, fmt.Sprintf("stream %q does not exist", r.PathValue("id")))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// follow writes the events of s that follow event number after, until s ends.
func (e *Endpoint) follow(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return
	}
	for sent := 0; ; {
		e.mu.Lock()
		var events [][]byte
		if after < len(s.events) {
			events = s.events[after:]
		}
		ended, cancelled, changed := s.ended, s.cancelled, s.changed
		cut, lose := e.fault.Cut, e.fault.Lose
		e.mu.Unlock()
		for _, event := range events {
			e.abortIfSilenced(r)
			if cut > 0 && sent == cut {
				w.Write(event[:len(event)/2]) //nolint:errcheck // the connection is cut next
				flush()                       //nolint:errcheck // the connection is cut next
				if lose {
					e.mu.Lock()
					e.cancel(s)
					e.mu.Unlock()
				}
				panic(http.ErrAbortHandler)
			}
			if _, err := w.Write(event); err != nil {
				return
			}
			after++
			sent++
		}
		if len(events) > 0 && flush() != nil {
			return
		}
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		if ended {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeWhole waits for the end of s and writes the whole answer.
func (e *Endpoint) writeWhole(w http.ResponseWriter, r *http.Request, s *stream) {
	for {
		e.mu.Lock()
		ended, cancelled, changed := s.ended, s.cancelled, s.changed
		e.mu.Unlock()
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		if ended {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	e.abortIfSilenced(r)
	e.reply(w, http.StatusOK, e.wholeAnswer(s))
}

func (e *Endpoint) parseAfter(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("parameter after: %w", err)
	}
	return after, nil
}
