package forwarder_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/forwarder"
)

// countingListener counts the accepted connections.
type countingListener struct {
	net.Listener
	n atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.n.Add(1)
	}
	return c, err
}

func listen(t testing.TB, address string) *countingListener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &countingListener{Listener: l}
}

// Guards against opening a connection for every call, and against reusing a
// connection that a call left unusable.
func TestReuse(t *testing.T) {
	is := is.New(t)
	h := &stubHandler{}
	l := listen(t, "127.0.0.1:0")
	s := forwarder.NewServer(h)
	go func() { _ = s.Serve(context.Background(), l) }()
	defer func() { _ = s.Abort() }()
	p := forwarder.Dial(l.Addr().String())
	defer func() { _ = p.Close() }()
	for i := range 200 {
		h.run = newTokenStream(3, io.EOF).start
		ctx, cancel := context.WithCancel(t.Context())
		_, err := p.Extend(ctx, "n")
		is.NoErr(err)
		s, err := p.Run(ctx, "e", jobOf(3))
		is.NoErr(err)
		for range 3 {
			_, err = s.Next(ctx)
			is.NoErr(err)
		}
		if i%2 == 0 { // otherwise the stream is closed right after the last chunk
			_, err = s.Next(ctx)
			is.Equal(err, io.EOF)
		}
		is.NoErr(s.Close())
		cancel()
	}
	is.Equal(l.n.Load(), int64(1))
}

// Guards against reusing a connection to a stopped node for its successor at the
// same address, and against idle connections that are never closed.
func TestReconnect(t *testing.T) {
	is := is.New(t)
	l := listen(t, "127.0.0.1:0")
	address := l.Addr().String()
	first := forwarder.NewServer(&stubHandler{})
	go func() { _ = first.Serve(context.Background(), l) }()
	p := forwarder.Dial(address, forwarder.WithIdleTimeout(50*time.Millisecond))
	defer func() { _ = p.Close() }()
	_, err := p.Extend(t.Context(), "n")
	is.NoErr(err)
	is.NoErr(first.Abort())
	_, err = p.Extend(t.Context(), "n")
	is.True(errors.Is(err, connector.ErrRefused) || errors.Is(err, connector.ErrBroken))

	l = listen(t, address)
	second := forwarder.NewServer(&stubHandler{})
	go func() { _ = second.Serve(context.Background(), l) }()
	defer func() { _ = second.Abort() }()
	_, err = p.Extend(t.Context(), "n")
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	_, err = p.Extend(t.Context(), "n")
	is.NoErr(err)
	is.Equal(l.n.Load(), int64(2)) // the first connection exceeded the idle timeout
}

// Guards against callers that hang while they wait for a connection, and against
// errors there that do not say that the job was not sent.
func TestNoConnection(t *testing.T) {
	is := is.New(t)
	silent := listen(t, "127.0.0.1:0") // completes no TLS handshake
	p := forwarder.Dial(silent.Addr().String(), forwarder.WithTLS(&tls.Config{}), forwarder.WithDialTimeout(50*time.Millisecond))
	defer func() { _ = p.Close() }()
	_, err := p.LatestBundles(t.Context())
	is.True(errors.Is(err, connector.ErrRefused))
	is.True(!errors.Is(err, context.DeadlineExceeded)) // the caller has time left
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = p.LatestBundles(ctx)
	is.True(errors.Is(err, connector.ErrRefused))
	is.True(errors.Is(err, context.DeadlineExceeded))

	source := newTokenStream(1, nil)
	source.block = true
	busy, _ := dial(t, &stubHandler{run: source.start}, nil, []forwarder.DialOption{forwarder.WithPeerStreams(1)})
	s, err := busy.Run(t.Context(), "e", jobOf(2))
	is.NoErr(err)
	waiting, stop := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer stop()
	_, err = busy.Run(waiting, "e", jobOf(2))
	is.True(errors.Is(err, connector.ErrRefused))
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = busy.Extend(t.Context(), "n") // does not wait behind jobs
	is.NoErr(err)
	is.NoErr(s.Close())
	mustReceive(t, source.closed, "the end of the job")
	source.next = 0
	_, err = busy.Run(t.Context(), "e", jobOf(2))
	is.NoErr(err)
}

// Guards against a node that accepts more jobs than its maximum.
func TestMaxStreams(t *testing.T) {
	is := is.New(t)
	source := newTokenStream(1, nil)
	source.block = true
	p, _ := dial(t, &stubHandler{run: source.start}, []forwarder.ServerOption{forwarder.WithMaxStreams(1)}, nil)
	s, err := p.Run(t.Context(), "e", jobOf(2))
	is.NoErr(err)
	_, err = p.Run(t.Context(), "e", jobOf(2))
	is.True(errors.Is(err, connector.ErrRefused))
	is.NoErr(s.Close())
	mustReceive(t, source.closed, "the end of the job")
}

// Guards against a planned stop that breaks running streams (promise P7) or
// accepts new jobs (promise P6).
func TestGracefulClose(t *testing.T) {
	is := is.New(t)
	l := listen(t, "127.0.0.1:0")
	source := newTokenStream(20, io.EOF)
	source.pause = 20 * time.Millisecond
	server := forwarder.NewServer(&stubHandler{run: source.start})
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background(), l) }()
	p := forwarder.Dial(l.Addr().String())
	defer func() { _ = p.Close() }()
	s, err := p.Run(t.Context(), "e", jobOf(20))
	is.NoErr(err)
	_, err = p.Extend(t.Context(), "n") // leaves an idle connection
	is.NoErr(err)
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	for { // wait until Close has closed the listener
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			break
		}
		_ = conn.Close()
		time.Sleep(time.Millisecond)
	}
	_, err = p.Run(t.Context(), "e", jobOf(1))
	is.True(errors.Is(err, connector.ErrRefused))
	chunks, err := read(t.Context(), s)
	is.Equal(err, io.EOF)
	is.Equal(len(chunks), 20)
	is.NoErr(mustReceive(t, closed, "the end of Close"))
	is.NoErr(mustReceive(t, served, "the end of Serve"))
}

// Guards against unencrypted connections to a node that requires TLS, against
// unknown certificates, and against streams that fail over TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	secure := []forwarder.ServerOption{forwarder.WithTLS(&tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}})}
	h := &stubHandler{run: newTokenStream(3, io.EOF).start}
	p, _ := dial(t, h, secure, []forwarder.DialOption{forwarder.WithTLS(&tls.Config{RootCAs: roots})})
	s, err := p.Run(t.Context(), "e", jobOf(3))
	is.NoErr(err)
	chunks, err := read(t.Context(), s)
	is.Equal(err, io.EOF)
	is.Equal(len(chunks), 3)
	plaintext, _ := dial(t, h, secure, nil)
	_, err = plaintext.Extend(t.Context(), "n")
	is.True(errors.Is(err, connector.ErrBroken))
	untrusting, _ := dial(t, h, secure, []forwarder.DialOption{forwarder.WithTLS(&tls.Config{RootCAs: x509.NewCertPool()})})
	_, err = untrusting.Extend(t.Context(), "n")
	is.True(errors.Is(err, connector.ErrRefused))
}

// Guards against sending a message for every token when several tokens are ready:
// cross-region traffic is billed by the byte.
func TestBatching(t *testing.T) {
	is := is.New(t)
	source := newTokenStream(2000, io.EOF)
	source.text = "word"
	p, _ := dial(t, &stubHandler{run: source.start}, nil, nil)
	s, err := p.Run(t.Context(), "e", jobOf(2000))
	is.NoErr(err)
	_, err = read(t.Context(), s)
	is.Equal(err, io.EOF)
	_, received := p.Transferred()
	is.True(received < 2000*12) // a message for each token would take more than 16 bytes per token
}

// rawEncoding passes messages through unencoded.
type rawEncoding struct{}

func (rawEncoding) Marshal(msg drpc.Message) ([]byte, error) { return *msg.(*[]byte), nil }

func (rawEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	*msg.(*[]byte) = append([]byte(nil), buf...)
	return nil
}

// scriptedServer responds to every call with the same message and records the
// last request of each method.
type scriptedServer struct {
	answer   []byte
	requests map[string][]byte
}

func (s *scriptedServer) HandleRPC(stream drpc.Stream, rpc string) error {
	var in []byte
	if err := stream.MsgRecv(&in, rawEncoding{}); err != nil {
		return err
	}
	s.requests[rpc] = in
	return stream.MsgSend(&s.answer, rawEncoding{})
}

func (s *scriptedServer) serve(t testing.TB) forwarder.Peer {
	l := listen(t, "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(s).Serve(ctx, l)
	}()
	p := forwarder.Dial(l.Addr().String())
	t.Cleanup(func() {
		_ = p.Close()
		cancel()
		<-done
	})
	return p
}

const callTimeout = 10 * time.Second // far longer than a call takes

// callAll calls every method of a peer and returns the errors.
func callAll(p forwarder.Peer) []error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var errs []error
	note := func(err error) { errs = append(errs, err) }
	_, err := p.State(ctx, 1)
	note(err)
	_, err = p.Extend(ctx, "n")
	note(err)
	_, err = p.ReleaseEngine(ctx, "e", 2)
	note(err)
	_, err = p.LatestBundles(ctx)
	note(err)
	_, err = p.BundlePart(ctx, []byte{3})
	note(err)
	note(p.ApplyMarks(ctx, []byte{4}))
	s, err := p.Run(ctx, "e", jobOf(5))
	if err == nil {
		_, err = read(ctx, s)
		_ = s.Close()
	}
	return append(errs, err)
}

// Guards against malformed responses that make a node crash or hang.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{"", "\xa0", "\xa1\x02\xa1\x04\x80", "\xa1\x01\xa1\x02\x18\xff", "\xa1\x02\x81A\x01", "\xa1\x06\xf5", "\xff", "\xa1\x01\x1b\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		f.Add([]byte(seed))
	}
	f.Add([]byte("\xa1\x02\xa2\x03\x81Ae\x04\x81\xa2\x01\x00\x02\x00")) // a view
	s := &scriptedServer{requests: make(map[string][]byte)}
	p := s.serve(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		s.answer = data
		start := time.Now()
		callAll(p)
		if time.Since(start) >= callTimeout {
			t.Fatalf("calls hang on the answer %x", data)
		}
	})
}

// Guards against malformed requests that make a node crash or hang.
func FuzzRequest(f *testing.F) {
	s := &scriptedServer{requests: make(map[string][]byte)}
	for _, err := range callAll(s.serve(f)) {
		if err == nil {
			f.Fatal("an empty answer was accepted")
		}
	}
	var methods []string
	for name, data := range s.requests {
		f.Add(uint8(len(methods)), data)
		f.Add(uint8(len(methods)), []byte("\xff"))
		methods = append(methods, name)
	}
	l := listen(f, "127.0.0.1:0")
	server := forwarder.NewServer(&stubHandler{err: errors.New("no")})
	go func() { _ = server.Serve(context.Background(), l) }()
	f.Cleanup(func() { _ = server.Abort() })
	f.Fuzz(func(t *testing.T, method uint8, data []byte) {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c := drpcconn.New(conn)
		defer func() { _ = c.Close() }()
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		var out []byte
		err = c.Invoke(ctx, methods[int(method)%len(methods)], rawEncoding{}, &data, &out)
		if errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(fmt.Errorf("no answer to %x: %w", data, err))
		}
	})
}
