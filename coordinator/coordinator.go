// Package coordinator lets a few entries of a large fleet grant the slots of all
// endpoints. In a small fleet every entry tells every other of each slot that it
// takes; the cost of that grows with the square of the fleet, and what an entry
// knows grows older. In a large fleet the entries of a failure domain ask one of
// them, the coordinator, for a slot, and only coordinators tell each other.
//
// Nothing is stored: all entries elect the coordinators alike from the members that
// they hear ([Elect]). A client lists the slots that it holds to its coordinator five
// times a second, so slots of a lost client are released and a lost message is made
// up for. When a coordinator is lost, its clients ask the next one, and report the
// slots that it had granted to the other coordinators.
//
// The package does no network I/O. Start from [Elect], [NewClient] and [NewServer].
package coordinator

// Receive handles a datagram of a peer, which is a client of the server or a
// coordinator that the client has asked.
func Receive(c *Client, s *Server, peer string, datagram []byte) error {
	m, err := decode(datagram)
	if err != nil {
		return err
	}
	switch m.Kind {
	case kindQueued, kindGranted, kindRefused, kindUnknown:
		c.receive(peer, m)
	default:
		s.receive(peer, m)
	}
	return nil
}
