package server_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/server"
)

// writePair writes a self-signed certificate with a serial number.
func writePair(t *testing.T, certFile, keyFile string, serial int64) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
}

// Guards against a renewed certificate that takes effect only after a restart,
// and against an invalid one that stops the server from answering.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePair(t, certFile, keyFile, 1)
	reloadErrs := make(chan error, 1000)
	reloader, err := server.NewCertReloader(certFile, keyFile, 5*time.Millisecond, func(err error) { reloadErrs <- err })
	is.NoErr(err)
	defer func() { is.NoErr(reloader.Close()) }()
	s := server.New(&fakePipeline{}, server.WithCertificates(reloader))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, l, s.Handler()) }()
	serial := func() int64 {
		conn, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	is.Equal(serial(), int64(1))
	writePair(t, certFile, keyFile, 2)
	for end := time.Now().Add(10 * time.Second); serial() != 2; {
		is.True(time.Now().Before(end)) // the new certificate is served
	}
	is.NoErr(os.WriteFile(certFile, []byte("broken"), 0o600))
	for len(reloadErrs) > 0 { // the reloader may have read a partly written pair
		<-reloadErrs
	}
	is.True(<-reloadErrs != nil)
	is.Equal(serial(), int64(2))
	stop()
	is.NoErr(<-served)

	_, err = server.NewCertReloader(certFile, keyFile, time.Second, nil)
	is.True(err != nil)
}
