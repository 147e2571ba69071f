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
			_, err := readAnswer(client)
			if c.malformed {
				require.ErrorAs(t, err, new(*response.MalformedError), "%s, split at %d", c.name, split)
				_, err = client.Read(make([]byte, 1))
				require.ErrorAs(t, err, new(*response.MalformedError), "%s: the error stays", c.name)
			} else {
				require.NoError(t, err, "%s, split at %d", c.name, split)
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
				_, err = client.Read(make([]byte, 32))
			}
			require.ErrorAs(t, err, new(*response.MalformedError))
		})
	}
}

// readAnswer reads an answer to its end, past informational ones.
func readAnswer(r io.Reader) (body []byte, err error) {
	reader := bufio.NewReader(r)
	for {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return io.ReadAll(res.Body)
		}
	}
}
