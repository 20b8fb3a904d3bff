package crowd

//lint:file-ignore SA1019 http2.Transport makes all calls on one connection; http.Transport may open one for each.

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleydeal/internal/wire/peer"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// peerDoor is an address at which a process serves other processes by gRPC.
type peerDoor struct {
	address netip.AddrPort
	// method is the path of the crowd's calls, message a message for it that takes long to answer, or
	// nil if calls are answered at once.
	method  string
	message proto.Message
	// ordinary makes one ordinary call.
	ordinary func(context.Context, *grpc.ClientConn) error
}

// Sizes of a crowd of peers: its connections, the calls on each, and the bytes of a message and of a
// head.
const (
	peerCrowd   = 24
	peerCalls   = 24
	messageSize = 2 << 20
	callHead    = 16 << 10
)

// peerCrowds are the crowds at an address for peers.
var peerCrowds = []struct {
	name string
	join func(*testing.T, peerDoor)
}{
	{"silent connections", func(t *testing.T, d peerDoor) { joinRaw(t, d, idleCrowd, nil) }},
	{"silent after the preface", func(t *testing.T, d peerDoor) {
		joinRaw(t, d, idleCrowd, func(f *http2.Framer) { _ = f.WriteSettings() })
	}},
	{"unfinished heads", func(t *testing.T, d peerDoor) { joinRaw(t, d, headCrowd, unfinishedHead) }},
	{"many names", func(t *testing.T, d peerDoor) {
		joinCalls(t, d, names(func(i int) string { return fmt.Sprint("x", i) }), nil)
	}},
	{"one name repeated", func(t *testing.T, d peerDoor) { joinCalls(t, d, names(func(int) string { return "x" }), nil) }},
	{"messages that stop short", func(t *testing.T, d peerDoor) { joinCalls(t, d, nil, shortMessage) }},
	{"whole messages", func(t *testing.T, d peerDoor) { joinCalls(t, d, nil, d.wholeMessage) }},
}

// joinRaw opens connections that say write after the preface of HTTP/2, or nothing if it is nil. They
// stay open until the test ends.
func joinRaw(t *testing.T, d peerDoor, size int, write func(*http2.Framer)) {
	t.Helper()
	for range size {
		connection, err := net.DialTimeout("tcp", d.address.String(), time.Second)
		if err != nil {
			continue // the process has refused the connection
		}
		t.Cleanup(func() { _ = connection.Close() })
		if write == nil {
			continue
		}
		// Errors mean that the process has closed the connection.
		_ = connection.SetWriteDeadline(time.Now().Add(sendTimeout))
		if _, err := io.WriteString(connection, http2.ClientPreface); err == nil {
			write(http2.NewFramer(connection, connection))
		}
	}
	time.Sleep(settleTime)
}

// unfinishedHead begins a call whose head does not end.
func unfinishedHead(f *http2.Framer) {
	// Errors mean that the process has closed the connection.
	_ = f.WriteSettings()
	field := append([]byte{0, 1, 'x', 1}, 'y') // a literal field that is not indexed
	block := []byte(strings.Repeat(string(field), 16000/len(field)))
	_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block})
	for range 8 {
		_ = f.WriteContinuation(1, false, block)
	}
}

// names returns a head with as many lines as callHead permits.
func names(name func(int) string) http.Header {
	h := http.Header{}
	const fieldOverhead = 32 // of the size of a head in HTTP/2
	for i, size := 0, 0; size < callHead-1000; i++ {
		n := name(i)
		h[n] = append(h[n], "y")
		size += len(n) + 1 + fieldOverhead
	}
	return h
}

// shortMessage returns a message without its last byte.
func shortMessage(int) io.Reader {
	prefix := binary.BigEndian.AppendUint32([]byte{0}, messageSize)
	return io.MultiReader(strings.NewReader(string(prefix)), body(messageSize-1))
}

// wholeMessage returns the message of the n-th call, or one that nothing is done about.
func (d peerDoor) wholeMessage(n int) io.Reader {
	content := make([]byte, messageSize)
	if d.message != nil {
		m := proto.Clone(d.message)
		if x, ok := m.(*peer.ExecuteRequest); ok {
			x.Key, x.Body = fmt.Sprint("key", n), content
		}
		var err error
		if content, err = proto.Marshal(m); err != nil {
			panic(err) // the message is the test's own
		}
	}
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(content)))
	return io.MultiReader(strings.NewReader(string(prefix)), strings.NewReader(string(content)))
}

// joinCalls makes calls with further lines in their heads that send what message returns, and don't
// end until the test does.
func joinCalls(t *testing.T, d peerDoor, head http.Header, message func(n int) io.Reader) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		calls.Wait()
	})
	var sent sync.WaitGroup
	for n := range peerCrowd {
		transport := &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
			dialer := net.Dialer{Timeout: time.Second}
			return dialer.DialContext(ctx, network, address)
		}}
		t.Cleanup(transport.CloseIdleConnections)
		for k := range peerCalls {
			content := &holdingReader{held: ctx, sent: sent.Done}
			if message != nil {
				content.content = message(n*peerCalls + k)
			}
			sent.Add(1)
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address.String()+d.method, content)
			if err != nil {
				t.Fatal(err)
			}
			for name, values := range head {
				q.Header[name] = values
			}
			q.Header.Set("Content-Type", "application/grpc")
			q.Header.Set("Te", "trailers")
			calls.Go(func() {
				defer content.finish()
				// An error means that the process has refused the call or closed the connection.
				if response, err := transport.RoundTrip(q); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
	}
	done := make(chan struct{})
	go func() {
		sent.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(2 * sendTimeout):
	}
	time.Sleep(settleTime)
}

// holdingReader is a body that ends only when held does.
type holdingReader struct {
	content io.Reader
	held    context.Context
	once    sync.Once
	sent    func()
}

// finish records that the content was sent, or the call has ended.
func (r *holdingReader) finish() { r.once.Do(r.sent) }

// Read implements io.Reader.
func (r *holdingReader) Read(p []byte) (int, error) {
	if r.content != nil {
		if n, err := r.content.Read(p); err == nil || n > 0 {
			return n, nil
		}
	}
	r.finish()
	<-r.held.Done()
	return 0, io.EOF
}

// checkOrdinaryCall fails the test unless an ordinary call is answered.
func checkOrdinaryCall(t *testing.T, d peerDoor) {
	t.Helper()
	var err error
	for range attempts {
		var c *grpc.ClientConn
		if c, err = grpc.NewClient("passthrough:///"+d.address.String(), grpc.WithTransportCredentials(insecure.NewCredentials())); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		err = d.ordinary(ctx, c)
		cancel()
		_ = c.Close()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("an ordinary call is not answered while the crowd is connected: %v", err)
}

// compareDoor returns the door of a process that compares settings with its peers.
func compareDoor(address netip.AddrPort) peerDoor {
	return peerDoor{address: address, method: "/bramleydeal.wire.Spread/Compare", ordinary: func(ctx context.Context, c *grpc.ClientConn) error {
		_, err := peer.NewSpreadClient(c).Compare(ctx, &peer.CompareRequest{Instance: "ordinary"})
		return err
	}}
}

// TestPeersOfPreparedEntry guards against a crowd at the address for peers of an entry on the prepared
// platform.
func TestPeersOfPreparedEntry(t *testing.T) {
	for _, c := range peerCrowds {
		t.Run(c.name, func(t *testing.T) {
			p := startPreparedEntry(t)
			d := compareDoor(p.peers)
			checkOrdinaryCall(t, d)
			c.join(t, d)
			checkOrdinaryCall(t, d)
			checkOrdinary(t, p.callerDoor())
			p.check()
		})
	}
}

// orderDoor returns the door of an agent that carries out orders.
func orderDoor(address netip.AddrPort) peerDoor {
	return peerDoor{address: address, method: "/bramleydeal.wire.Agent/Order", ordinary: func(ctx context.Context, c *grpc.ClientConn) error {
		_, err := peer.NewAgentClient(c).Order(ctx, &peer.GrantOrder{Group: "none", Ballot: &peer.Ballot{}})
		if err != nil && strings.Contains(status.Convert(err).Message(), "/report") {
			return nil // the agent's own answer: there is no engine beside it
		}
		return err
	}}
}

// TestPeersOfPreparedAgent guards against a crowd at the address for peers of an agent on the prepared
// platform.
func TestPeersOfPreparedAgent(t *testing.T) {
	for _, c := range peerCrowds {
		t.Run(c.name, func(t *testing.T) {
			p := startPrepared(t, "agent")
			d := orderDoor(p.peers)
			checkOrdinaryCall(t, d)
			c.join(t, d)
			checkOrdinaryCall(t, d)
			p.check()
		})
	}
}

// TestDebugOfPreparedAgent guards against a crowd at the metrics and the debug state of an agent on the
// prepared platform.
func TestDebugOfPreparedAgent(t *testing.T) {
	for _, c := range plainCrowds("/debug/state") {
		t.Run(c.name, func(t *testing.T) {
			p := startPrepared(t, "agent")
			d := plainDoor(p.debug, "/metrics")
			p.eventually("the agent serves its metrics", func() bool {
				status, _, err := d.ordinary(t.Context())
				return err == nil && status == http.StatusOK
			})
			c.join(t, d)
			checkOrdinary(t, d)
			p.check()
		})
	}
}

// TestPeersOfOwnEntry guards against a crowd at the address for peers of an entry with agents.
func TestPeersOfOwnEntry(t *testing.T) {
	for _, c := range peerCrowds {
		t.Run(c.name, func(t *testing.T) {
			o := startOwn(t)
			d := compareDoor(o.entryPeers)
			c.join(t, d)
			checkOrdinaryCall(t, d)
			checkOrdinary(t, o.callerDoor())
			o.check()
		})
	}
}

// TestPeersOfOwnAgent guards against a crowd of calls that run requests at an agent.
func TestPeersOfOwnAgent(t *testing.T) {
	for _, c := range peerCrowds {
		t.Run(c.name, func(t *testing.T) {
			o := startOwn(t)
			d := compareDoor(o.peers[heldService])
			c.join(t, peerDoor{
				address: o.peers[heldService], method: "/bramleydeal.wire.Agent/Execute",
				message: &peer.ExecuteRequest{RequestId: "r", Account: "planners", Method: http.MethodGet, Path: "/x"},
			})
			checkOrdinaryCall(t, d)
			checkOrdinary(t, o.callerDoor())
			o.check()
		})
	}
}
