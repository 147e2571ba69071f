// Package crowd contains only tests. They start cmd/gateway on loopback, connect crowds
// of clients that exceed what they should hold in a process, and check that the process
// lives, stays within its memory and descriptors, and still answers an ordinary request.
package crowd
