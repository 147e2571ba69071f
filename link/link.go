// Package link carries frames between processes over QUIC with mutual TLS. A
// [Conn] has one stream for each attempt and one for control messages; the
// package does not interpret what they carry. Start from [Listen] and
// [NewDialer].
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
	// IdleTimeout closes a connection that receives nothing for this long. It is
	// three heartbeat intervals of 10 s.
	IdleTimeout = 30 * time.Second
	// handshakeTimeout limits the wait for a peer that does not answer during the
	// handshake.
	handshakeTimeout = 3 * time.Second
	// streamWindowBytes is the initial receive window of a stream. With the
	// default of 512 KB, a slow caller could make the entry buffer that much.
	streamWindowBytes = 64 << 10
	// maxIncomingStreams limits the concurrent attempts of one peer.
	maxIncomingStreams = 4096
)

const (
	codeClosed    quic.ApplicationErrorCode = 0
	codeCancelled quic.StreamErrorCode      = 1
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 IdleTimeout,
		InitialStreamReceiveWindow:     streamWindowBytes,
		InitialConnectionReceiveWindow: 4 * streamWindowBytes,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		Allow0RTT:                      false, // 0-RTT data can be replayed.
		DisablePathMTUDiscovery:        true,  // Its probes would use up the control traffic budget of idle links.
	}
}

// Conn is a connection to one peer. It is safe for use by several goroutines.
type Conn struct {
	quic *quic.Conn
	peer certificate.Identity
	// release gives up the connection's reference to its socket. Only the first
	// call has an effect.
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

// LocalAddress returns the local address of the connection.
func (c *Conn) LocalAddress() string {
	return c.quic.LocalAddr().String()
}

// Context returns a context that is cancelled when either side closes the
// connection or it receives nothing for [IdleTimeout].
func (c *Conn) Context() context.Context {
	return c.quic.Context()
}

// Open opens a stream. The peer accepts it only once the first frame arrives.
func (c *Conn) Open(ctx context.Context) (*Stream, error) {
	q, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", c.peer.Name, err)
	}
	return newStream(q), nil
}

// Accept waits for the next stream that the peer opens.
func (c *Conn) Accept(ctx context.Context) (*Stream, error) {
	q, err := c.quic.AcceptStream(ctx)
	if err != nil {
		return nil, fmt.Errorf("accept stream from %s: %w", c.peer.Name, err)
	}
	return newStream(q), nil
}

// Traffic counts what a connection sent and received, including retransmissions
// and without UDP and IP headers.
type Traffic struct {
	// Bytes counts UDP payload. Packets counts QUIC packets and is at least the
	// number of UDP datagrams. Both sum the two directions.
	Bytes, Packets uint64
}

// Traffic returns the totals since the connection was opened.
func (c *Conn) Traffic() Traffic {
	s := c.quic.ConnectionStats()
	return Traffic{Bytes: s.BytesSent + s.BytesReceived, Packets: s.PacketsSent + s.PacketsReceived}
}

// Close closes the connection and all its streams.
func (c *Conn) Close(reason string) {
	_ = c.quic.CloseWithError(codeClosed, reason)
	c.release()
}

// Stream carries frames in both directions. Send and SendChunk are safe for
// concurrent use; only one goroutine may call Receive and Ready.
type Stream struct {
	quic *quic.Stream
	mu   sync.Mutex
	// buffer holds the frame being encoded and is reused; mu guards it.
	buffer []byte
	// reader is used only by the goroutine that calls Receive.
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

// SendChunk writes one chunk of an answer as a frame. It avoids the reflection
// of Send.
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

// Receive reads one frame. It returns [io.EOF] after the peer closed its sending
// side. The body of a chunk is valid until the next call.
func (s *Stream) Receive() (frame.Raw, error) {
	return s.reader.Read()
}

// Ready reports whether Receive would return the next frame without blocking.
// Only the goroutine that calls Receive may call it.
func (s *Stream) Ready() bool {
	return s.reader.Ready()
}

// Context returns a context that is cancelled when the peer stops reading, the
// sending side is closed or the connection ends.
func (s *Stream) Context() context.Context {
	return s.quic.Context()
}

// CloseSend closes the sending side. The peer reads [io.EOF] after the last frame.
func (s *Stream) CloseSend() error {
	return s.quic.Close()
}

// Cancel aborts both directions immediately. The peer's reads and writes fail.
func (s *Stream) Cancel() {
	s.quic.CancelRead(codeCancelled)
	s.quic.CancelWrite(codeCancelled)
}

// StopReceive tells the peer that this side reads no more frames.
func (s *Stream) StopReceive() {
	s.quic.CancelRead(codeCancelled)
}

// Listener accepts connections on one UDP address. The kernel refuses a second
// listener on the same address, so an endpoint has at most one agent.
type Listener struct {
	transport *quic.Transport
	quic      *quic.Listener
}

// Listen listens on address, which must be an IP and a port.
func Listen(address string, tlsConfig *tls.Config) (res *Listener, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen on %s: %w", address, err)
		}
	}()
	socket, err := bind(address)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: statelessResetKey(tlsConfig)}
	q, err := transport.Listen(tlsConfig, quicConfig())
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	return &Listener{transport: transport, quic: q}, nil
}

// statelessResetKey derives the key of stateless resets from the private key of
// the process. A process that replaces a killed one at the same address can thus
// reset its predecessor's connections when their next packet arrives.
func statelessResetKey(tlsConfig *tls.Config) *quic.StatelessResetKey {
	if len(tlsConfig.Certificates) == 0 {
		return nil
	}
	private, err := x509.MarshalPKCS8PrivateKey(tlsConfig.Certificates[0].PrivateKey)
	if err != nil {
		return nil // Without resets, such connections end by their idle timeout.
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

// Accept waits for the next connection whose peer has a valid certificate.
func (l *Listener) Accept(ctx context.Context) (*Conn, error) {
	for {
		q, err := l.quic.Accept(ctx)
		if err != nil {
			return nil, err
		}
		c, err := newConn(q, func() {})
		if err != nil {
			continue // newConn refused the peer; wait for the next one.
		}
		return c, nil
	}
}

// Close closes the listener, its socket and all accepted connections.
func (l *Listener) Close() error {
	return errors.Join(l.quic.Close(), l.transport.Close(), l.transport.Conn.Close())
}
