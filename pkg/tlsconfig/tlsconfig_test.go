package tlsconfig

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

const testName = "medlarsill.internal"

// testCA is a certificate authority for tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T, name string) *testCA {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	checkNoError(t, err)
	cert, err := x509.ParseCertificate(der)
	checkNoError(t, err)
	return &testCA{cert: cert, key: key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	checkNoError(t, err)
	return key
}

func checkNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate for a name, its key and the CA certificate into a directory.
func (a *testCA) issue(t *testing.T, dir, name string, serial int64) Files {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	checkNoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	checkNoError(t, err)
	files := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	writePEM(t, files.Cert, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CA, "CERTIFICATE", a.cert.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	checkNoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// handshake connects a client to a server and returns the server's serial number.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	checkNoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Write([]byte("x")) // in TLS 1.3 the client learns of a rejected certificate only when it reads
			_ = c.Close()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_, err = io.ReadFull(c, make([]byte, 1))
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), err
}

func TestMutualTLSVerification(t *testing.T) {
	g := NewWithT(t)
	ours, others := newTestCA(t, "ours"), newTestCA(t, "others")
	load := func(a *testCA, name string) *Keys {
		k, err := Load(a.issue(t, t.TempDir(), name, 7))
		checkNoError(t, err)
		return k
	}
	good, foreign, misnamed := load(ours, testName), load(others, testName), load(ours, "else.internal")
	serial, err := handshake(t, good.Server(), good.Client(testName))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(7)))
	for name, pair := range map[string][2]*tls.Config{
		"client certificate of another CA":    {good.Server(), foreign.Client(testName)},
		"server certificate of another CA":    {foreign.Server(), good.Client(testName)},
		"server certificate for another name": {misnamed.Server(), good.Client(testName)},
		"client without certificate":          {good.Server(), {InsecureSkipVerify: true}},
	} {
		_, err := handshake(t, pair[0], pair[1])
		g.Expect(err).To(HaveOccurred(), name)
	}
}

// TestReloadReplacesKeysAndCA replaces all files while the configurations are in use.
func TestReloadReplacesKeysAndCA(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	k, err := Load(newTestCA(t, "old").issue(t, dir, testName, 1))
	checkNoError(t, err)
	server, client := k.Server(), k.Client(testName)
	serial, err := handshake(t, server, client)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(1)))

	files := newTestCA(t, "new").issue(t, dir, testName, 2)
	changed, err := k.Reload()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	serial, err = handshake(t, server, client)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(2)))

	checkNoError(t, os.WriteFile(files.Cert, []byte("broken"), 0o600))
	_, err = k.Reload()
	g.Expect(err).To(MatchError(ErrKeys))
	_, err = handshake(t, server, client)
	g.Expect(err).NotTo(HaveOccurred(), "the current keys must be kept")
}

// TestWatchReloadsOnChangeAndSignal checks that files are reloaded on a signal and
// at intervals, and that a failure is reported once.
func TestWatchReloadsOnChangeAndSignal(t *testing.T) {
	a, dir := newTestCA(t, "a"), t.TempDir()
	k, err := Load(a.issue(t, dir, testName, 1))
	checkNoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		signals := make(chan os.Signal)
		var mu sync.Mutex
		var reports []error
		report := func(err error) {
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, err)
		}
		reported := func() []error {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(reports)
		}
		go func() { _ = k.Watch(ctx, signals, report) }()
		writeSerial := func(serial int64) { a.issue(t, dir, testName, serial) }
		writeSerial(2)
		signals <- syscall.SIGHUP
		synctest.Wait()
		g.Expect(reported()).To(HaveLen(1))
		writeSerial(3)
		time.Sleep(CheckInterval + time.Millisecond)
		synctest.Wait()
		g.Expect(reported()).To(HaveLen(2))
		g.Expect(os.Remove(filepath.Join(dir, "key.pem"))).To(Succeed())
		time.Sleep(5 * CheckInterval)
		synctest.Wait()
		g.Expect(reported()).To(HaveLen(3))
		g.Expect(reported()[2]).To(MatchError(ErrKeys))
		cancel()
		synctest.Wait()
	})
}

// TestPeerWithoutHandshakeIsDisconnected connects to a TLS peer and never begins the handshake.
func TestPeerWithoutHandshakeIsDisconnected(t *testing.T) {
	files := newTestCA(t, "a").issue(t, t.TempDir(), testName, 1)
	p, err := FromSettings(settings.ServerTLS{}, settings.MutualTLS{Cert: files.Cert, Key: files.Key, CA: files.CA, ServerName: testName})
	checkNoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		accepted, silent := net.Pipe()
		peer.NewServer(p.PeerServer()).ServeConn(tls.Server(accepted, p.PeerServer()))
		g.Expect(time.Since(start)).To(BeNumerically("<=", peer.HandshakeTimeout))
		checkNoError(t, silent.Close())
	})
}

// TestPeersUseMutualTLS calls a peer server with the client configuration of the
// same process, and without TLS.
func TestPeersUseMutualTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	files := newTestCA(t, "a").issue(t, t.TempDir(), testName, 1)
	p, err := FromSettings(settings.ServerTLS{}, settings.MutualTLS{Cert: files.Cert, Key: files.Key, CA: files.CA, ServerName: testName})
	checkNoError(t, err)
	g.Expect(p.Server()).To(BeNil())
	server := peer.NewServer(p.PeerServer())
	checkNoError(t, server.Register("Echo", new(Echo)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	checkNoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	client := peer.NewClient(&peer.Directory{}, p.PeerClient())
	var out string
	g.Expect(client.CallAddr(ctx, l.Addr().String(), "Echo.Say", "hello", &out)).To(Succeed())
	g.Expect(out).To(Equal("hello"))
	plain := peer.NewClient(&peer.Directory{}, nil)
	g.Expect(plain.CallAddr(ctx, l.Addr().String(), "Echo.Say", "hello", &out)).NotTo(Succeed())
	plain.Close()
	client.Close()
	cancel()
	g.Expect(<-done).To(Succeed())
}

// Echo is an RPC service for TestPeersUseMutualTLS.
type Echo struct{}

// Say returns its argument.
func (*Echo) Say(in string, out *string) error {
	*out = in
	return nil
}

// TestRunWithoutTLS checks that settings without keys give no TLS configurations
// and that Run works without them.
func TestRunWithoutTLS(t *testing.T) {
	g := NewWithT(t)
	p, err := FromSettings(settings.ServerTLS{}, settings.MutualTLS{ServerName: testName})
	checkNoError(t, err)
	g.Expect(p.Server()).To(BeNil())
	g.Expect(p.PeerServer()).To(BeNil())
	g.Expect(p.PeerClient()).To(BeNil())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(p.Run(ctx, slog.New(slog.DiscardHandler))).To(Succeed())
	g.Expect((&http.Server{TLSConfig: p.Server()}).TLSConfig).To(BeNil())
}
