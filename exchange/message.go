package exchange

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/frame"
	"damasktrail.dev/quota"
)

// proof ends a datagram. It lets the receiver date the sender's table by its own
// clock: the sender had it confirmed no later than Age before it sent the
// datagram, and it heard Echo before that. So the receiver's date, Echo less Age,
// is never later than the sender's, however often it is passed on.
type proof struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is the sender's time, Echo the last stamp that the sender has from the
	// receiver, zero when it has none.
	Stamp, Echo int64
	// Boot is the incarnation of the receiver that sent Echo. A VM that restarts
	// begins its time anew.
	Boot uint64
	// Table is the version of the sender's table, and Age how long before this
	// datagram it was confirmed. Age is taken after Echo.
	Table uint64
	Age   int64
}

// message is a report on the wire.
type message struct {
	Name string `cbor:"1,keyasint"`
	// Boot is the incarnation of the sender, Number that of the report.
	Boot   uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	// Table is the version of the routing table in force.
	Table uint64 `cbor:"4,keyasint"`
	// Holds has requests and prompt tokens by endpoint.
	Holds   map[string][2]int      `cbor:"5,keyasint,omitempty"`
	Waiting map[string]map[int]int `cbor:"6,keyasint,omitempty"`
	// Summary is nil in most reports.
	Summary *summary `cbor:"7,keyasint,omitempty"`
	// Leaving says that the sender is shutting down.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Domain is the sender's failure domain.
	Domain string `cbor:"9,keyasint,omitempty"`
	// Down has the endpoints that take no connections.
	Down []string `cbor:"10,keyasint,omitempty"`
}

// summary is a Summary on the wire.
type summary struct {
	Usage    quota.Usage `cbor:"1,keyasint,omitempty"`
	Suspects []suspect   `cbor:"2,keyasint,omitempty"`
	// Peers are addresses that the sender knows.
	Peers []string `cbor:"3,keyasint,omitempty"`
}

// suspect is a frame.Suspect without names of fields.
type suspect struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashes     []uint64
	Age         int64
}

// values returns what the summary says.
func (s *summary) values() Summary {
	res := Summary{Usage: s.Usage}
	for _, v := range s.Suspects {
		res.Suspects = append(res.Suspects, frame.Suspect{Fingerprint: v.Fingerprint, Crashes: v.Crashes, Age: v.Age})
	}
	return res
}

// proof returns the end of a datagram to a peer. Two VMs' clocks never meet in it.
func (x *Exchange) proof(to netip.AddrPort) ([]byte, error) {
	p := proof{Stamp: int64(x.uptime())}
	p.Echo, p.Boot = x.echo(to)
	table, age := x.owner.Confirmed()
	p.Table, p.Age = table, int64(age)
	return cbor.Marshal(p)
}

// echo returns the last stamp of a peer with the incarnation that sent it, zero
// when there is none.
func (x *Exchange) echo(of netip.AddrPort) (stamp int64, boot uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[of]; p != nil {
		return p.stamp, p.Boot
	}
	return 0, 0
}

// dates reports whether the proof can date a table for the incarnation boot at
// the uptime now.
func (p proof) dates(boot uint64, now time.Duration) bool {
	return p.Boot == boot && p.Echo > 0 && p.Echo <= int64(now) && p.Age >= 0
}

// encode returns the next report.
func (x *Exchange) encode(now time.Time) ([]byte, error) {
	s := x.owner.State()
	m := message{
		Name: x.name, Domain: s.Dispatch.Domain, Boot: x.boot, Table: s.Table, Waiting: s.Dispatch.Waiting, Leaving: s.Leaving,
		Down:  s.Dispatch.Down,
		Holds: make(map[string][2]int, len(s.Dispatch.Holds)),
	}
	for id, h := range s.Dispatch.Holds {
		m.Holds[id] = [2]int{h.Requests, h.Prompt}
	}
	x.mu.Lock()
	x.number++
	m.Number = x.number
	due := now.Sub(x.summarised) >= summaryInterval
	if due {
		x.summarised = now
		m.Summary = &summary{Peers: x.listPeers()}
		x.summaries++
	}
	x.mu.Unlock()
	if due {
		v := x.owner.Summary(maxSuspects)
		m.Summary.Usage = v.Usage
		for _, f := range v.Suspects {
			m.Summary.Suspects = append(m.Summary.Suspects, suspect{Fingerprint: f.Fingerprint, Crashes: f.Crashes, Age: f.Age})
		}
	}
	return cbor.Marshal(m)
}

// listPeers returns the addresses of live peers for each eighth summary. It is
// called with mu held.
func (x *Exchange) listPeers() []string {
	if x.summaries%peersEvery != 0 {
		return nil
	}
	var res []string
	for a, p := range x.peers {
		if !p.silent {
			res = append(res, a.String())
		}
	}
	return res
}

// decode reads a datagram.
func decode(datagram []byte) (m message, p proof, err error) {
	rest, err := cbor.UnmarshalFirst(datagram, &m)
	if err != nil {
		return m, p, err
	}
	err = cbor.Unmarshal(rest, &p)
	return m, p, err
}

// state returns what the message says of its sender.
func (m message) state() State {
	res := State{
		Table:    m.Table,
		Dispatch: dispatch.Report{Domain: m.Domain, Holds: make(map[string]dispatch.Hold, len(m.Holds)), Waiting: m.Waiting, Down: m.Down},
		Leaving:  m.Leaving,
	}
	for id, h := range m.Holds {
		res.Dispatch.Holds[id] = dispatch.Hold{Requests: h[0], Prompt: h[1]}
	}
	return res
}
