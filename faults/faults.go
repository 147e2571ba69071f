// Package faults contains only tests. They run the programs as separate
// processes on loopback, inject the failures of section 1.3 of the design page
// and check the guarantees of section 1.1 against the answers that callers
// received and the requests that each endpoint ran. The table of all rows is
// printed at the end of
//
//	go test ./faults -v
package faults
