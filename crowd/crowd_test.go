package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// uploads is the number of clients of a crowd that sends bodies, connections that of
	// a crowd that only connects or sends headers.
	uploads     = 40
	connections = 300
	// crowdTime is the longest time in which a crowd sends.
	crowdTime = 6 * time.Second
	// segmentBytes is the size of TCP segments on Ethernet.
	segmentBytes = 1460
)

// client is the behaviour of one client of a crowd on its connection.
type client func(w io.Writer) error

// post returns the head of a request of the crowd.
func post(path, fields string) string {
	return "POST /crowd/" + path + " HTTP/1.1\r\nHost: h\r\nX-Api-Key: crowd\r\nAttempt-Id: crowd\r\n" + fields + "\r\n"
}

// block is shared by all clients, so that a crowd needs little memory in the test.
var block = bytes.Repeat([]byte("x"), maxBodyBytes)

// send returns a client that writes a head and then pieces of n bytes in total.
func send(head string, n, piece int, pause time.Duration) client {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		for left := n; left > 0; left -= piece {
			if _, err := w.Write(block[:min(left, piece)]); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
}

// sendChunks returns a client that writes a chunked body of n bytes in chunks of the
// given size, without its last chunk.
func sendChunks(n, size int) client {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, post("u", "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, block[:size])
		perWrite := max(1, 32<<10/size)
		batch := []byte(strings.Repeat(chunk, perWrite))
		for left := n; left > 0; left -= size * perWrite {
			if _, err := w.Write(batch); err != nil {
				return err
			}
		}
		return nil
	}
}

// length returns the field that announces a body of n bytes.
func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// forms returns the crowds of uploads by name.
func forms() map[string]client {
	const short = maxBodyBytes - 1
	return map[string]client{
		"whole":     send(post("u", length(maxBodyBytes)), maxBodyBytes, maxBodyBytes, 0),
		"stalled":   send(post("u", length(maxBodyBytes)), short, maxBodyBytes, 0),
		"piecewise": send(post("u", length(maxBodyBytes)), short, 64<<10, 5*time.Millisecond),
		"one chunk": func(w io.Writer) error {
			head := post("u", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n", maxBodyBytes)
			return send(head, short, maxBodyBytes, 0)(w)
		},
		"small chunks":            sendChunks(short-16, 16),
		"over the limit":          send(post("u", length(16*maxBodyBytes)), short, maxBodyBytes, 0),
		"over the limit, chunked": sendChunks(4*maxBodyBytes, 128<<10),
		"over the limit, endless chunk": func(w io.Writer) error {
			head := post("u", "Transfer-Encoding: chunked\r\n") + "40000000\r\n"
			return send(head, 4*maxBodyBytes-1, 256<<10, 0)(w)
		},
	}
}

// crowd is a set of connected clients.
type crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// descriptors is the largest number of descriptors of each gateway while the crowd
	// was sending.
	descriptors []int
	// statuses counts the status lines that the clients received.
	statuses sync.Map
}

// connect starts n clients, distributed over the gateways, and returns when all have sent
// what they send or crowdTime is over. They stay connected until leave. After an error of
// the connection a client is gone.
func connect(t *testing.T, gateways []*process, n int, behaviour func(i int) client) *crowd {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel, descriptors: make([]int, len(gateways))}
	t.Cleanup(c.leave)
	var sent sync.WaitGroup
	for i := range n {
		sent.Add(1)
		c.clients.Go(func() { c.serve(ctx, gateways[i%len(gateways)].callers, behaviour(i), sent.Done) })
	}
	done := make(chan struct{})
	go func() { sent.Wait(); close(done) }()
	end := time.After(crowdTime)
	for {
		for i, p := range gateways {
			c.descriptors[i] = max(c.descriptors[i], p.descriptors())
		}
		select {
		case <-done:
		case <-end:
		case <-time.After(5 * time.Millisecond):
			continue
		}
		break
	}
	// The gateways read what is in the buffers of the sockets.
	time.Sleep(300 * time.Millisecond)
	return c
}

// serve is one client: it reads in the background while it sends, then stays connected.
func (c *crowd) serve(ctx context.Context, address string, behave client, sent func()) {
	done := sync.OnceFunc(sent)
	defer done()
	conn, err := narrow(dialerFrom(crowdAddress)).DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	var reads sync.WaitGroup
	reads.Go(func() { c.read(conn) })
	err = behave(conn)
	done()
	if err == nil {
		<-ctx.Done()
	}
	_ = conn.Close()
	reads.Wait()
}

// narrow limits what the sockets of a connection hold to what they do between machines:
// segments on loopback have 64 KiB, for which the kernel sets aside megabytes.
func narrow(d *net.Dialer) *net.Dialer {
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10)
		})
	}
	return d
}

// read counts the status of the first response.
func (c *crowd) read(conn net.Conn) {
	var line [12]byte
	status := "closed"
	if _, err := io.ReadFull(conn, line[:]); err == nil {
		status = string(line[9:])
	}
	n, _ := c.statuses.LoadOrStore(status, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func (c *crowd) leave() {
	c.cancel()
	c.clients.Wait()
}

// log writes how many clients received which status.
func (c *crowd) log(t *testing.T) {
	c.statuses.Range(func(status, n any) bool {
		t.Logf("%s: %d clients", status, n.(*atomic.Int64).Load())
		return true
	})
}

// checkAll checks each gateway while the crowd is connected.
func (c *crowd) checkAll(t *testing.T, gateways []*process) {
	t.Helper()
	c.log(t)
	for i, p := range gateways {
		p.check(c.descriptors[i])
	}
}

// Guards against bodies that take more memory than the process has: 60 uploads of 4 MiB
// took a gateway to 309 MB.
func TestBodies(t *testing.T) {
	for name, behave := range forms() {
		t.Run(name, func(t *testing.T) {
			gateways := newSite(t).start(1, manyFDs)
			c := connect(t, gateways, uploads, func(int) client { return behave })
			c.checkAll(t, gateways)
		})
	}
}

// Guards against memory that one crowd leaves behind for the next: crowds of each form
// follow each other at one process.
func TestChangingCrowd(t *testing.T) {
	gateways := newSite(t).start(1, manyFDs)
	all := forms()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		behave := all[name]
		c := connect(t, gateways, uploads, func(int) client { return behave })
		t.Log(name)
		c.checkAll(t, gateways)
		c.leave()
	}
}

// Guards against many small bodies that are not sent to their end.
func TestSmallBodies(t *testing.T) {
	gateways := newSite(t).start(1, manyFDs)
	c := connect(t, gateways, 3*connections, func(int) client {
		return send(post("u", length(100_000)), 100_000-1, 100_000, 0)
	})
	c.checkAll(t, gateways)
}

// Guards against several forms at once at several gateways.
func TestMixedCrowd(t *testing.T) {
	gateways := newSite(t).start(2, manyFDs)
	var all []client
	named := forms()
	for _, name := range slices.Sorted(maps.Keys(named)) {
		all = append(all, named[name])
	}
	c := connect(t, gateways, 2*uploads, func(i int) client { return all[i/2%len(all)] })
	c.checkAll(t, gateways)
}

// Guards against bounds that hold only while no ordinary requests are sent beside a crowd.
func TestOrdinaryLoad(t *testing.T) {
	gateways := newSite(t).start(1, manyFDs)
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				gateways[0].request(ordinaryBytes)
			}
		}
	})
	c := connect(t, gateways, uploads, func(int) client { return forms()["stalled"] })
	close(stop)
	load.Wait()
	c.checkAll(t, gateways)
}

// Guards against responses that are held for clients that do not read them.
func TestSlowReaders(t *testing.T) {
	gateways := newSite(t).start(1, manyFDs)
	pipelined := strings.Repeat(post("large", length(0)), 16)
	c := connect(t, gateways, 3*connections, func(int) client {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, pipelined)
			time.Sleep(2 * time.Second)
			return err
		}
	})
	c.checkAll(t, gateways)
}

// Guards against headers that are sent up to just before their end.
func TestHeaders(t *testing.T) {
	gateways := newSite(t).start(1, manyFDs)
	head := strings.TrimSuffix(post("u", "X-Filler: "+string(block[:60<<10])), "\r\n\r\n")
	c := connect(t, gateways, 4*connections, func(int) client { return send(head, 0, 1, 0) })
	c.checkAll(t, gateways)
}

// Guards against connections that take all descriptors: silent, with a part of a header,
// and kept open after a request.
func TestConnections(t *testing.T) {
	head := post("small", length(0))
	for name, text := range map[string]string{"silent": "", "half a header": head[:40], "kept": head} {
		t.Run(name, func(t *testing.T) {
			gateways := newSite(t).start(1, maxFDs)
			c := connect(t, gateways, connections, func(int) client { return send(text, 0, 1, 0) })
			c.checkAll(t, gateways)
		})
	}
}

// Guards against bytes that are charged and never given back: after crowds of all forms
// have left, the account is at zero.
func TestAccountIsEmptyAfterCrowds(t *testing.T) {
	gateways := newSite(t).start(1, manyFDs)
	all := forms()
	all["headers"] = send(strings.TrimSuffix(post("u", ""), "\r\n"), 0, 1, 0)
	all["slow reader"] = send(strings.Repeat(post("large", length(0)), 16), 0, 1, 0)
	names := slices.Sorted(maps.Keys(all))
	c := connect(t, gateways, 3*uploads, func(i int) client { return all[names[i%len(names)]] })
	require.NotEqual(t, "0", gateways[0].heldBytes())
	c.leave()
	require.Eventually(t, func() bool { return gateways[0].heldBytes() == "0" }, startTimeout, 50*time.Millisecond, "held: %s", gateways[0].heldBytes())
}

// Guards against a limit that a single request inside the configuration meets.
func TestLargestBody(t *testing.T) {
	gateways := newSite(t).start(1, maxFDs)
	status, body := gateways[0].request(maxBodyBytes)
	require.Equal(t, 200, status, body)
	require.Equal(t, fmt.Sprintf("received %d", maxBodyBytes), body)
}
