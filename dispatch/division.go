package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// The limit of an endpoint is for all entries together. It is divided into equal parts
// among some of the entries that assign requests, so that no message about single requests
// is needed for the sum to keep to it: a message that is late or lost breaks nothing.

const (
	// minPart is the least part in requests a second, by which a low limit has few parts. An
	// entry that may send one request a minute may have none when its time has come.
	minPart = 0.2
	// maxEqualParts is the number of entries that may send a request to the endpoint at the
	// same moment whatever its limit, besides those that the limit allows in a second.
	maxEqualParts = 5
	// divisionHold is how long the part of an entry that is silent is left to it. Entries
	// that do not hear each other for a while would else use more than the limit together.
	divisionHold = 15 * time.Second
	// turnover is the time after which other entries get the parts of a limit, if there are
	// more entries than parts: one with a part may have no requests for the endpoint.
	turnover = time.Minute
)

// Fleet is what a scheduler knows of the other entries.
type Fleet struct {
	Turns Turns
	// Assigning has the names of the entries that assign requests to endpoints. The name of
	// this entry is missing while another one assigns its requests.
	Assigning []string
	// Live has the names of all other entries that are heard.
	Live []string
}

// SetFleet sets what is known of the other entries.
func (s *Scheduler) SetFleet(f Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns = f.Turns
	s.division = s.division.With(f, s.clock.Now())
	s.shares = s.shares.With(f, s.clock.Now())
}

// division says among which entries limits are divided. It is immutable.
type division struct {
	// names has the entries that assign requests.
	names []string
	// silent has entries that assigned requests when they were last heard, and the time
	// until which their parts are left to them.
	silent map[string]time.Time
	// revision differs between two divisions of a scheduler.
	revision int
}

// With returns the division for another fleet.
func (d division) With(f Fleet, now time.Time) division {
	res := division{names: f.Assigning, silent: maps.Clone(d.silent), revision: d.revision + 1}
	if res.silent == nil {
		res.silent = map[string]time.Time{}
	}
	for _, name := range d.names {
		res.silent[name] = now.Add(divisionHold)
	}
	for _, name := range slices.Concat(f.Assigning, f.Live) {
		delete(res.silent, name)
	}
	return res
}

// at returns the division at a time.
func (d division) at(now time.Time) division {
	expired := func(_ string, until time.Time) bool { return !now.Before(until) }
	silent := maps.Clone(d.silent)
	maps.DeleteFunc(silent, expired)
	if len(silent) == len(d.silent) {
		return d
	}
	return division{names: d.names, silent: silent, revision: d.revision + 1}
}

// parts returns the number of parts of a limit.
func (d division) parts(perSecond float64) int {
	n := min(maxEqualParts+int(perSecond), max(1, int(perSecond/minPart)))
	return max(1, min(n, len(d.names)+len(d.silent)))
}

// period returns the number of the turnover that a time is in.
func period(now time.Time) int64 { return now.Unix() / int64(turnover.Seconds()) }

// part returns the rate that an entry may use of the limit of an endpoint in a period, zero
// if it has no part.
func (d division) part(entry, endpoint string, perSecond float64, period int64) float64 {
	parts := d.parts(perSecond)
	if !slices.Contains(d.names, entry) {
		return 0
	}
	if len(d.names)+len(d.silent) > parts {
		key := endpoint + " " + strconv.FormatInt(period, 10)
		draw := func(name string) float64 { return uniformHash(name, key) }
		own, before := draw(entry), 0
		for _, name := range slices.AppendSeq(slices.Clone(d.names), maps.Keys(d.silent)) {
			if c := cmp.Or(cmp.Compare(draw(name), own), cmp.Compare(name, entry)); c < 0 {
				before++
			}
		}
		if before >= parts {
			return 0
		}
	}
	return perSecond / float64(parts)
}
