package exchange

import (
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/frame"
	"damasktrail.dev/quota"
)

// confirmation ends a datagram. With it the receiver dates the sender's table by
// its own clock: the sender had the table confirmed no later than AgeNanos before
// it sent the datagram, and had received EchoNanos before it read AgeNanos. So the
// receiver's date, EchoNanos less AgeNanos, is never later than the sender's,
// however many peers the confirmation passes through.
type confirmation struct {
	_ struct{} `cbor:",toarray"`
	// TimestampNanos is the sender's uptime, EchoNanos the last timestamp that the
	// sender received from the receiver, zero when there is none.
	TimestampNanos, EchoNanos int64
	// Boot is the incarnation of the receiver that sent EchoNanos. The uptime of a VM
	// restarts at zero when the VM restarts.
	Boot uint64
	// Table is the version of the sender's table, AgeNanos the time between its
	// confirmation and this datagram. AgeNanos is read after EchoNanos.
	Table    uint64
	AgeNanos int64
}

// message is the wire format of a report.
type message struct {
	Name string `cbor:"1,keyasint"`
	// Boot is the incarnation of the sender, Number the sequence number of the
	// report.
	Boot   uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	// Table is the version of the routing table in force.
	Table uint64 `cbor:"4,keyasint"`
	// Loads has the number of requests in flight and of their prompt tokens by
	// endpoint.
	Loads   map[string][2]int      `cbor:"5,keyasint,omitempty"`
	Waiting map[string]map[int]int `cbor:"6,keyasint,omitempty"`
	// Summary is nil in most reports.
	Summary *summary `cbor:"7,keyasint,omitempty"`
	// Leaving says that the sender is shutting down.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Domain is the sender's failure domain.
	Domain string `cbor:"9,keyasint,omitempty"`
	// Unreachable has the IDs of endpoints that the sender cannot connect to.
	Unreachable []string `cbor:"10,keyasint,omitempty"`
	// Millicores is the part of a processor that the sender may use, in thousandths.
	Millicores int `cbor:"11,keyasint,omitempty"`
	// Partial says that Loads, Waiting, Unreachable and Suspects are left out.
	Partial bool `cbor:"12,keyasint,omitempty"`
	// Endpoints is the revision of the last change of the endpoints that the sender
	// knows.
	Endpoints uint64 `cbor:"13,keyasint,omitempty"`
	// Ineligible says that the sender must not be elected as a coordinator.
	Ineligible bool `cbor:"14,keyasint,omitempty"`
	// Evacuations is the revision of the last change of the evacuated failure domains that
	// the sender knows.
	Evacuations uint64 `cbor:"15,keyasint,omitempty"`
	// Suspects has the IDs of endpoints that may have been restarted.
	Suspects []string `cbor:"16,keyasint,omitempty"`
}

// summary is the wire format of Summary. Key 2 is used by earlier versions.
type summary struct {
	Usage quota.Usage `cbor:"1,keyasint,omitempty"`
	// Peers are the addresses of the sender's live peers.
	Peers    []string         `cbor:"3,keyasint,omitempty"`
	Evidence []frame.Evidence `cbor:"4,keyasint,omitempty"`
	// Limits is what answers to the sender say of the limits of endpoints.
	Limits []fleet.LimitReport `cbor:"5,keyasint,omitempty"`
	// Loads is what answers to the sender state of the loads of endpoints.
	Loads []fleet.LoadReport `cbor:"6,keyasint,omitempty"`
}

// encodeConfirmation returns the end of a datagram to a peer. It never compares the
// clocks of two VMs.
func (x *Exchange) encodeConfirmation(to netip.AddrPort) ([]byte, error) {
	c := confirmation{TimestampNanos: int64(x.uptime())}
	c.EchoNanos, c.Boot = x.echo(to)
	table, age := x.handler.Confirmed()
	c.Table, c.AgeNanos = table, int64(age)
	return cbor.Marshal(c)
}

// echo returns the last timestamp of a peer and the incarnation that sent it, zero
// when there is none.
func (x *Exchange) echo(of netip.AddrPort) (timestampNanos int64, boot uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[of]; p != nil {
		return p.timestampNanos, p.Boot
	}
	return 0, 0
}

// validFor reports whether the confirmation can date a table for the receiver's
// incarnation boot at its uptime now.
func (c confirmation) validFor(boot uint64, now time.Duration) bool {
	return c.Boot == boot && c.EchoNanos > 0 && c.EchoNanos <= int64(now) && c.AgeNanos >= 0
}

// encode returns a report without its confirmation.
func (x *Exchange) encode(s State, number uint64, kind bodyKind) ([]byte, error) {
	m := message{
		Name: x.self.Name, Domain: x.self.Domain, Millicores: x.self.Millicores, Boot: x.boot, Number: number,
		Table: s.Table, Endpoints: s.Endpoints, Evacuations: s.Evacuations, Leaving: s.Leaving, Ineligible: s.Ineligible, Partial: !kind.full,
	}
	if kind.full {
		m.Waiting, m.Unreachable, m.Suspects = s.Dispatch.Waiting, s.Dispatch.Unreachable, s.Dispatch.Suspects
		m.Loads = make(map[string][2]int, len(s.Dispatch.Loads))
		for id, h := range s.Dispatch.Loads {
			m.Loads[id] = [2]int{h.Requests, h.Prompt}
		}
	}
	if kind.summary {
		m.Summary = x.newSummary(kind.listsPeers)
	}
	return cbor.Marshal(m)
}

// newSummary returns the current summary in its wire format.
func (x *Exchange) newSummary(listsPeers bool) *summary {
	v := x.handler.Summary(maxEvidence, maxLimits)
	res := &summary{Usage: v.Usage, Evidence: v.Evidence, Limits: v.Limits, Loads: v.Loads}
	if listsPeers {
		res.Peers = x.listPeers()
	}
	return res
}

// listPeers returns the addresses of some live peers, in random order.
func (x *Exchange) listPeers() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var res []string
	for a, p := range x.peers {
		if len(res) == maxListedPeers {
			break
		}
		if !p.silent {
			res = append(res, a.String())
		}
	}
	return res
}

// decode parses a datagram.
func decode(datagram []byte) (m message, c confirmation, err error) {
	rest, err := cbor.UnmarshalFirst(datagram, &m)
	if err != nil {
		return m, c, err
	}
	err = cbor.Unmarshal(rest, &c)
	return m, c, err
}

const (
	// maxReportedRequests and maxReportedTokens bound the numbers of a report, so that sums
	// over peers cannot overflow.
	maxReportedRequests = 1 << 20
	maxReportedTokens   = math.MaxInt32
	// maxReportedVersion bounds versions and revisions. One above it is treated as absent.
	maxReportedVersion = 1 << 53
	// maxMillicores bounds the part of a processor of a peer.
	maxMillicores = 1 << 20
)

// version returns a version of a report, zero if it is out of range.
func version(v uint64) uint64 {
	if v > maxReportedVersion {
		return 0
	}
	return v
}

// toState converts the message to the state of its sender. Numbers out of range are brought
// into it.
func (m message) toState() State {
	for _, counts := range m.Waiting {
		for tier, n := range counts {
			counts[tier] = min(max(0, n), maxReportedRequests)
		}
	}
	res := State{
		Table:       version(m.Table),
		Endpoints:   version(m.Endpoints),
		Evacuations: version(m.Evacuations),
		Ineligible:  m.Ineligible,
		Dispatch:    dispatch.Report{Domain: m.Domain, Loads: make(map[string]dispatch.Load, len(m.Loads)), Waiting: m.Waiting, Unreachable: m.Unreachable, Suspects: m.Suspects},
		Leaving:     m.Leaving,
		Partial:     m.Partial,
	}
	for id, h := range m.Loads {
		res.Dispatch.Loads[id] = dispatch.Load{Requests: min(max(0, h[0]), maxReportedRequests), Prompt: min(max(0, h[1]), maxReportedTokens)}
	}
	return res
}
