// Package faults has no code of its own. Its tests start the programs as
// separate processes on loopback, bring about the failures of section 1.3 of
// the design page and check the guarantees of section 1.1 from what callers
// saw and from the requests that each endpoint ran. The table of all rows is
// printed at the end of
//
//	go test ./faults -v
package faults
