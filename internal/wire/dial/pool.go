// Package dial manages the connections of a process to its peers and counts their traffic.
// It does not choose the peers.
package dial

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"bramleydeal/internal/wire/inbound"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/experimental"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/mem"
)

// Timeouts and sizes of the connections between processes.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	// MaxMessage bounds a message in bytes; it leaves room for a complete settings tree.
	MaxMessage = 64 << 20
	// StreamWindow bounds what a process holds of the answer to a call before it is read, and
	// connectionWindow what is under way on a connection, in bytes.
	StreamWindow     = 64 << 10
	connectionWindow = 1 << 20
	// idleTimeout is the time without calls after which a connection is closed. The next
	// call opens it again.
	idleTimeout = 5 * time.Minute
)

// init replaces the buffers that messages are encoded into: those of gRPC have 1 MB for a message of
// 33 KB.
func init() {
	experimental.SetDefaultBufferPool(mem.NewTieredBufferPool(256, 4<<10, 16<<10, 32<<10, 80<<10, 160<<10, 320<<10, 640<<10, 1280<<10))
}

// Pool holds one gRPC connection per peer address. It is safe for concurrent use.
type Pool struct {
	credentials credentials.TransportCredentials
	traffic     *Traffic
	mu          sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
	// refused are the addresses that refused the last TCP connection.
	refused map[netip.AddrPort]bool
}

// ErrRefused is wrapped by the error of Pool.Ready when the peer's host refuses the TCP
// connection: no process listens at the address, so the peer process has ended.
var ErrRefused = errors.New("nobody listens at the address")

// NewPool returns a pool whose connections use the credentials c, or no TLS when c is nil.
// Their traffic is counted in t.
func NewPool(c credentials.TransportCredentials, t *Traffic) *Pool {
	if c == nil {
		c = insecure.NewCredentials()
	}
	return &Pool{credentials: c, traffic: t, connections: map[netip.AddrPort]*grpc.ClientConn{}, refused: map[netip.AddrPort]bool{}}
}

// Get returns the connection to a peer, which may not be established yet.
func (p *Pool) Get(a netip.AddrPort) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.connections[a]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+a.String(),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := p.traffic.dial(ctx, address)
			p.noteRefused(a, errors.Is(err, syscall.ECONNREFUSED))
			return c, err
		}),
		grpc.WithTransportCredentials(p.credentials),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(StreamWindow),
		grpc.WithStaticConnWindowSize(connectionWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: maxBackoff,
		}),
	)
	if err != nil {
		return nil, oops.Code("dial").Wrapf(err, "connect to %s", a)
	}
	p.connections[a] = c
	return c, nil
}

// noteRefused records whether the last TCP connection to an address was refused.
func (p *Pool) noteRefused(a netip.AddrPort, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[a] = refused
}

func (p *Pool) wasRefused(a netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[a]
}

// Ready returns the connection to a peer when it is established, waiting at most for the
// given time. After an error nothing has been sent to the peer. The error wraps ErrRefused
// when no process listens at the address.
func (p *Pool) Ready(ctx context.Context, a netip.AddrPort, wait time.Duration) (*grpc.ClientConn, error) {
	c, err := p.Get(a)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s := c.GetState()
		if s == connectivity.Ready {
			return c, nil
		}
		c.Connect()
		if !c.WaitForStateChange(ctx, s) {
			if p.wasRefused(a) {
				return nil, oops.Code("unreachable").Wrapf(ErrRefused, "%s cannot be reached", a)
			}
			return nil, oops.Code("unreachable").Errorf("%s cannot be reached", a)
		}
	}
}

// Close closes all connections. Calls that are running on them fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.connections {
		// The process is stopping, so an error is of no consequence.
		_ = c.Close()
		delete(p.connections, a)
	}
}

// Limits of the calls that a process serves.
const (
	// handshakeTimeout bounds the time until a connection may be used for calls.
	handshakeTimeout = 10 * time.Second
	// maxCallHead is the largest head of a call, in bytes.
	maxCallHead = 16 << 10
)

// ServerOptions returns the options of a gRPC server for peers whose calls are counted in b. It uses
// no TLS when c is nil.
func ServerOptions(c credentials.TransportCredentials, b *inbound.Budget) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(b.Credentials(c)),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.MaxHeaderListSize(maxCallHead),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
}
