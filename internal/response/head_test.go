package response_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/internal/response"
)

// Guards against heads that are checked differently when they arrive in several pieces, and
// against a check of what is no head.
func TestHeadInPieces(t *testing.T) {
	for _, c := range []struct {
		name, text string
		malformed  bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nok", false},
		{"no carriage returns", "HTTP/1.1 200 OK\nA: b\n\nok", false},
		{"no reason", "HTTP/1.1 204\r\n\r\n", false},
		{"informational before", "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.0 200 OK\r\n\r\nok", false},
		{"body like a head", "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 OK\r\nA B: c\r\n\r\n", false},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"status 000 after an informational one", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", true},
		{"bytes above ASCII in a value", "HTTP/1.1 200 OK\r\nA: \xe4\tb\r\n\r\nok", false},
		{"chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding:chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\nok", true},
		{"blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok", true},
		{"blank before a name", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 1\r\n\r\nok", true},
		{"blank line in the head", "HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\nok", true},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\nok", true},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nA: b\x7f\r\n\r\nok", true},
		{"carriage return in a line", "HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\nok", true},
		{"carriage return before a line", "HTTP/1.1 200 OK\r\n\rA: b\r\n\r\nok", true},
		{"carriage return in the status", "HTTP/1.1 200 O\rK\r\n\r\nok", true},
		{"no name", "HTTP/1.1 200 OK\r\n: b\r\n\r\nok", true},
		{"no colon", "HTTP/1.1 200 OK\r\nA\r\n\r\nok", true},
	} {
		for split := range len(c.text) {
			client, server := connect(t)
			require.NoError(t, client.Begin(nil))
			received := make(chan []byte)
			go func() {
				_, _ = io.WriteString(server, c.text[:split])
				received <- nil
				_, _ = io.WriteString(server, c.text[split:])
				_ = server.Close()
			}()
			<-received
			err := readAnswer(client)
			if c.malformed {
				require.Error(t, err, "%s, split at %d", c.name, split)
				require.ErrorAs(t, client.Malformed(), new(*response.MalformedError), "%s, split at %d", c.name, split)
				_, err = client.Read(make([]byte, 1))
				require.ErrorAs(t, err, new(*response.MalformedError), "%s: the error stays", c.name)
			} else {
				require.NoError(t, err, "%s, split at %d", c.name, split)
				require.NoError(t, client.Malformed())
			}
		}
	}
}

// Guards against a second answer on a connection that isn't checked, whether it comes with
// the first one or later.
func TestHeadOfSecondAnswer(t *testing.T) {
	const first, second = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 OK\r\n\r\n"
	for name, buffered := range map[string]string{"read later": "", "read in part": second[:9], "read whole": second} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			require.NoError(t, client.Begin(nil))
			_, err := io.WriteString(server, first+buffered)
			require.NoError(t, err)
			reader := bufio.NewReader(client)
			r, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, r.Body)
			require.NoError(t, err)
			ahead, err := reader.Peek(reader.Buffered())
			require.NoError(t, err)
			require.Equal(t, buffered, string(ahead))
			err = client.Begin(ahead)
			if err == nil {
				_, _ = io.WriteString(server, second[len(buffered):])
				require.Error(t, readAnswer(client))
				err = client.Malformed()
			}
			require.ErrorAs(t, err, new(*response.MalformedError))
		})
	}
}

// readAnswer reads an answer to its end, past informational ones.
func readAnswer(r io.Reader) error {
	reader := bufio.NewReader(r)
	for {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		if res.StatusCode >= http.StatusOK {
			_, err = io.Copy(io.Discard, res.Body)
			return err
		}
	}
}
