package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
)

// The values of [EndpointFault.Silence].
const (
	SilenceOpen = "open"
	SilenceAll  = "all"
)

// EndpointFault is the set of faults in force, as PUT /control/fault takes it.
// Each PUT replaces the set; an empty object ends all faults.
type EndpointFault struct {
	// Slow multiplies the time of each step when positive.
	Slow float64 `json:"slow,omitempty"`
	// Silence is open, all or empty. Silent connections accept requests and send
	// nothing. The value open permanently silences the connections that are open
	// when the fault is set; all silences every connection during the fault.
	Silence string `json:"silence,omitempty"`
	// Marker crashes the endpoint when a request whose body contains Marker has
	// generated After tokens; if After is zero, before the first token.
	Marker string `json:"marker,omitempty"`
	After  int    `json:"after,omitempty"`
	// Crash ends the process immediately.
	Crash bool `json:"crash,omitempty"`
	// Cut closes the connection of a streamed answer in the middle of the event
	// that follows the first Cut events of that connection. Zero disables it.
	Cut int `json:"cut,omitempty"`
	// Lose also cancels the stream whose connection Cut closes, so that it cannot
	// be resumed.
	Lose bool `json:"lose,omitempty"`
	// Refuse is the share of requests, from 0 to 1, answered with status 503
	// before they run.
	Refuse float64 `json:"refuse,omitempty"`
}

// Run is a request that started to run.
type Run struct {
	// ID is the request's Stream-Id.
	ID string `json:"id"`
	// Digest is the SHA-256 of the body in hexadecimal.
	Digest string `json:"digest"`
}

// RunReport is the answer to GET /control/runs.
type RunReport struct {
	// Runs lists the requests in the order in which they started.
	Runs []Run `json:"runs"`
	// Counts is the number of runs by digest.
	Counts map[string]int `json:"counts"`
	// Prefilled counts the prompt tokens processed, Wasted those of requests that
	// were cancelled before their end.
	Prefilled int `json:"prefilled"`
	Wasted    int `json:"wasted"`
	// Cancelled counts requests that were cancelled before their end, Refused
	// those that were refused because of EndpointFault.Refuse.
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
}

// Control returns the handler with which tests inject faults and read reports.
// Faults do not affect it.
func (e *Endpoint) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/fault", func(w http.ResponseWriter, r *http.Request) {
		var f EndpointFault
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			e.fail(w, http.StatusBadRequest, err.Error())
			return
		}
		if f.Silence != "" && f.Silence != SilenceOpen && f.Silence != SilenceAll {
			e.fail(w, http.StatusBadRequest, fmt.Sprintf("silence %q is neither open nor all", f.Silence))
			return
		}
		w.WriteHeader(http.StatusNoContent)
		e.SetFault(f)
	})
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) {
		e.reply(w, http.StatusOK, e.Runs())
	})
	return mux
}

// SetFault replaces the faults in force. A crash happens before it returns.
func (e *Endpoint) SetFault(f EndpointFault) {
	e.mu.Lock()
	e.fault = f
	if f.Silence == SilenceOpen {
		e.silentConnections, e.silentRequests = e.connections, e.requests
	}
	e.mu.Unlock()
	if f.Crash {
		e.crash()
	}
}

// Runs returns the report of the requests so far.
func (e *Endpoint) Runs() RunReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	res := e.report
	res.Runs = append([]Run{}, e.report.Runs...)
	res.Counts = maps.Clone(e.runsByDigest)
	return res
}

// crash calls the crash function once and stops the batch.
func (e *Endpoint) crash() {
	e.mu.Lock()
	done := e.crashed
	e.crashed = true
	e.mu.Unlock()
	if !done {
		e.options.Crash()
	}
}

// recordRun records that a request started to run and returns how often its body
// has run, this time included. The caller holds the lock.
func (e *Endpoint) recordRun(id string, body []byte) int {
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	e.report.Runs = append(e.report.Runs, Run{ID: id, Digest: digest})
	e.runsByDigest[digest]++
	return e.runsByDigest[digest]
}

// hasMarker reports whether body contains the crash marker. The caller holds the lock.
func (e *Endpoint) hasMarker(body []byte) bool {
	return e.fault.Marker != "" && bytes.Contains(body, []byte(e.fault.Marker))
}

// refuseNext counts a request towards the refused share and reports whether it is
// to be refused. The caller holds the lock.
func (e *Endpoint) refuseNext() bool {
	e.refusalCredit += e.fault.Refuse
	if e.refusalCredit < 1 {
		return false
	}
	e.refusalCredit--
	e.report.Refused++
	return true
}
