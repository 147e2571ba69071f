package upstream_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// sentBytes is what an endpoint writes to a connection.
type sentBytes struct {
	text string
	// kept says that the connection stays open.
	kept bool
}

// FuzzAnswer guards against bytes of an endpoint that take a process down, and against bytes
// behind an answer that are taken for that to the next request.
func FuzzAnswer(f *testing.F) {
	f.Add(false, formatResponse("i", "whole"))
	f.Add(false, "HTTP/1.1 200 OK\r\nId: i\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX: y\r\n\r\n")
	f.Add(false, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.0 503 Full\r\nNot-Run: 1\r\n\r\n")
	f.Add(false, "HTTP/1.1 200 OK\r\nId: i\r\nContent-Length: -1\r\nContent-Length: 5\r\n\r\nabc\x00")
	f.Add(true, formatResponse("i", "again"))
	f.Add(true, formatResponse("other", "stray")+formatResponse("", "stray"))
	answers := make(chan sentBytes, 1)
	endpoint := serve(f, func(c net.Conn, r *bufio.Reader) {
		for {
			id, body, ok := readRequest(r)
			if !ok {
				return
			}
			answer := sentBytes{text: formatResponse(id, body), kept: true}
			if id == "i" {
				answer = <-answers
			}
			if _, err := c.Write([]byte(answer.text)); err != nil || !answer.kept {
				return
			}
		}
	})
	p := newPool(f)
	f.Fuzz(func(t *testing.T, kept bool, text string) {
		if kept {
			text = formatResponse("i", "own") + text
		}
		answers <- sentBytes{text: text, kept: kept}
		got, err := doCall(p, endpoint, newCall("i", ""))
		if kept {
			require.NoError(t, err)
			require.Equal(t, "own", got)
		}
		// The next call may be lost with the connection, but gets no other answer.
		if got, err = doCall(p, endpoint, newCall("next", "body")); err == nil {
			require.Equal(t, "body", got)
		}
	})
}
