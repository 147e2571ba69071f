// Package link carries frames between processes over QUIC with mutual TLS. A
// [Conn] has one stream for each attempt and one for control messages; it knows
// nothing of their meaning. Start from [Listen] and [NewDialer].
package link

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"damasktrail.dev/certificate"
	"damasktrail.dev/frame"
)

const (
	// IdleTimeout ends a connection on which nothing arrives. It is three
	// heartbeats of 10 s.
	IdleTimeout = 30 * time.Second
	// handshakeTimeout bounds the time to reach a peer that does not answer.
	handshakeTimeout = 3 * time.Second
	// streamWindow is the flow control window of a new stream in bytes. The
	// default of 512 KB would let a slow caller hold that much in the entry.
	streamWindow = 64 << 10
	// maxStreams bounds the attempts that one peer may have open.
	maxStreams = 4096
)

const (
	codeClosed    quic.ApplicationErrorCode = 0
	codeCancelled quic.StreamErrorCode      = 1
)

func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 IdleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: 4 * streamWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		Allow0RTT:                      false, // 0-RTT data can be replayed.
		DisablePathMTUDiscovery:        true,  // Its probes would count against the control budget of idle links.
	}
}

// Conn is a connection to one peer. It is safe for use by several goroutines.
type Conn struct {
	quic *quic.Conn
	peer certificate.Identity
	// release gives the connection's socket back; it is called once.
	release func()
}

func newConn(q *quic.Conn, release func()) (res *Conn, err error) {
	peer, err := certificate.PeerIdentity(q.ConnectionState().TLS)
	if err != nil {
		_ = q.CloseWithError(codeClosed, "no identity")
		release()
		return nil, fmt.Errorf("identify peer %s: %w", q.RemoteAddr(), err)
	}
	return &Conn{quic: q, peer: peer, release: sync.OnceFunc(release)}, nil
}

// Peer returns the role and name in the peer's certificate.
func (c *Conn) Peer() certificate.Identity {
	return c.peer
}

// LocalAddress returns the address that the connection leaves from.
func (c *Conn) LocalAddress() string {
	return c.quic.LocalAddr().String()
}

// Context ends when the connection is closed by either side or goes silent.
func (c *Conn) Context() context.Context {
	return c.quic.Context()
}

// Open opens a stream. The peer sees it with its first frame.
func (c *Conn) Open(ctx context.Context) (*Stream, error) {
	q, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", c.peer.Name, err)
	}
	return newStream(q), nil
}

// Accept waits for a stream that the peer opened.
func (c *Conn) Accept(ctx context.Context) (*Stream, error) {
	q, err := c.quic.AcceptStream(ctx)
	if err != nil {
		return nil, fmt.Errorf("accept stream from %s: %w", c.peer.Name, err)
	}
	return newStream(q), nil
}

// Traffic counts what a connection sent and received, including what was sent
// again, without the headers of UDP and IP.
type Traffic struct {
	// Bytes are UDP payload, Packets are UDP datagrams at most; both count the
	// two directions together.
	Bytes, Packets uint64
}

// Traffic returns the counts since the connection was opened.
func (c *Conn) Traffic() Traffic {
	s := c.quic.ConnectionStats()
	return Traffic{Bytes: s.BytesSent + s.BytesReceived, Packets: s.PacketsSent + s.PacketsReceived}
}

// Close closes the connection and all its streams.
func (c *Conn) Close(reason string) {
	_ = c.quic.CloseWithError(codeClosed, reason)
	c.release()
}

// Stream carries frames in both directions. Send may be called by several
// goroutines, Receive by one.
type Stream struct {
	quic *quic.Stream
	mu   sync.Mutex
	// buffer is reused for encoding; mu guards it.
	buffer []byte
	// reader belongs to the goroutine that receives.
	reader *frame.Reader
}

func newStream(q *quic.Stream) *Stream {
	return &Stream{quic: q, reader: frame.NewReader(q)}
}

// Send writes one frame.
func (s *Stream) Send(kind frame.Kind, message any) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer, err = frame.Append(s.buffer[:0], kind, message)
	if err != nil {
		return err
	}
	_, err = s.quic.Write(s.buffer)
	return err
}

// SendChunk writes one frame with a part of an answer.
func (s *Stream) SendChunk(c frame.Chunk) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer, err = frame.AppendChunk(s.buffer[:0], c)
	if err != nil {
		return err
	}
	_, err = s.quic.Write(s.buffer)
	return err
}

// Receive reads one frame. It returns [io.EOF] when the peer finished its side.
// The body of a chunk is valid until the next call.
func (s *Stream) Receive() (frame.Raw, error) {
	return s.reader.Read()
}

// Ready reports whether Receive would return the next frame without waiting. It
// belongs to the goroutine that receives.
func (s *Stream) Ready() bool {
	return s.reader.Ready()
}

// Context ends when the peer stops reading, the stream is closed for sending or
// the connection ends.
func (s *Stream) Context() context.Context {
	return s.quic.Context()
}

// CloseSend finishes this side; the peer reads [io.EOF] after the last frame.
func (s *Stream) CloseSend() error {
	return s.quic.Close()
}

// Cancel ends both directions at once. The peer's reads and writes fail.
func (s *Stream) Cancel() {
	s.quic.CancelRead(codeCancelled)
	s.quic.CancelWrite(codeCancelled)
}

// StopReceive tells the peer that nothing more will be read.
func (s *Stream) StopReceive() {
	s.quic.CancelRead(codeCancelled)
}

// Listener accepts connections on one UDP address. The kernel refuses a second
// listener on the same address, which keeps an endpoint's agent unique.
type Listener struct {
	transport *quic.Transport
	quic      *quic.Listener
}

// Listen binds address, which must be an IP and port.
func Listen(address string, t *tls.Config) (res *Listener, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen on %s: %w", address, err)
		}
	}()
	socket, err := bind(address)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: resetKey(t)}
	q, err := transport.Listen(t, config())
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	return &Listener{transport: transport, quic: q}, nil
}

// resetKey derives the key of stateless resets from the process's private key. A
// process that took the place of a killed one at the same address can thus end
// the connections of its predecessor at their next packet.
func resetKey(t *tls.Config) *quic.StatelessResetKey {
	if len(t.Certificates) == 0 {
		return nil
	}
	private, err := x509.MarshalPKCS8PrivateKey(t.Certificates[0].PrivateKey)
	if err != nil {
		return nil // Without resets the silence of the connection ends it later.
	}
	sum := sha256.Sum256(append([]byte("damasktrail stateless reset "), private...))
	return (*quic.StatelessResetKey)(&sum)
}

func bind(address string) (*net.UDPConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", udp)
}

// Address returns the bound address.
func (l *Listener) Address() string {
	return l.quic.Addr().String()
}

// Accept waits for a connection whose peer has a valid certificate.
func (l *Listener) Accept(ctx context.Context) (*Conn, error) {
	for {
		q, err := l.quic.Accept(ctx)
		if err != nil {
			return nil, err
		}
		c, err := newConn(q, func() {})
		if err != nil {
			continue // The peer was refused; the next may be valid.
		}
		return c, nil
	}
}

// Close closes the socket and all accepted connections.
func (l *Listener) Close() error {
	return errors.Join(l.quic.Close(), l.transport.Close(), l.transport.Conn.Close())
}
