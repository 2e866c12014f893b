// Package tlsconfig provides TLS configurations whose keys are reloaded while the
// process runs: when the files change and on demand.
package tlsconfig

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// CheckInterval is the interval at which the files are checked for changes.
const CheckInterval = 5 * time.Second

// minVersion is the minimum TLS version.
const minVersion = tls.VersionTLS13

// ErrKeys means that the key files or a certificate can't be used.
var ErrKeys = eris.New("tlsconfig: invalid key files")

// Files holds the paths of PEM files.
type Files struct {
	// Cert and Key are the certificate chain and its private key.
	Cert, Key string
	// CA holds the certificate authorities for verifying the other side; empty if
	// that isn't verified.
	CA string
}

// Keys holds the current keys. New connections use the keys of the last reload;
// open connections continue with theirs.
type Keys struct {
	files   Files
	current atomic.Pointer[loadedFiles]
}

// loadedFiles holds the parsed contents of the files.
type loadedFiles struct {
	cert   tls.Certificate
	pool   *x509.CertPool
	digest [sha256.Size]byte
}

// Load reads the files and returns their keys.
func Load(files Files) (*Keys, error) {
	k := &Keys{files: files}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files again and reports whether they had changed. On an error
// the current keys are kept.
func (k *Keys) Reload() (bool, error) {
	m, err := readFiles(k.files)
	if err != nil {
		return false, err
	}
	old := k.current.Load()
	if old != nil && old.digest == m.digest {
		return false, nil
	}
	k.current.Store(m)
	return true, nil
}

func readFiles(files Files) (*loadedFiles, error) {
	cert, err := os.ReadFile(files.Cert)
	if err != nil {
		return nil, eris.Wrap(ErrKeys, err.Error())
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		return nil, eris.Wrap(ErrKeys, err.Error())
	}
	m := &loadedFiles{}
	if m.cert, err = tls.X509KeyPair(cert, key); err != nil {
		return nil, eris.Wrapf(ErrKeys, "%s, %s: %s", files.Cert, files.Key, err)
	}
	sum := sha256.New()
	sum.Write(cert)
	sum.Write(key)
	if files.CA != "" {
		ca, err := os.ReadFile(files.CA)
		if err != nil {
			return nil, eris.Wrap(ErrKeys, err.Error())
		}
		m.pool = x509.NewCertPool()
		if !m.pool.AppendCertsFromPEM(ca) {
			return nil, eris.Wrapf(ErrKeys, "%s: no certificate", files.CA)
		}
		sum.Write(ca)
	}
	sum.Sum(m.digest[:0])
	return m, nil
}

// Server returns the configuration of a server. If a CA is set, clients must
// present a certificate that it issued.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: minVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.current.Load().server(), nil
		},
	}
}

// server doesn't offer HTTP/2: the memory that its streams take on one connection isn't bounded with that
// of the heads of other connections.
func (m *loadedFiles) server() *tls.Config {
	c := &tls.Config{MinVersion: minVersion, Certificates: []tls.Certificate{m.cert}, NextProtos: []string{"http/1.1"}}
	if m.pool != nil {
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.pool
	}
	return c
}

// Client returns the configuration of a client that presents its certificate and
// verifies that the server's was issued by the CA for the given name. It replaces
// the verification by crypto/tls, which can't pick up a reloaded CA.
func (k *Keys) Client(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: minVersion,
		ServerName: serverName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().cert, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the server instead
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.current.Load().verify(s, serverName)
		},
	}
}

// verify verifies a server's certificate chain and name.
func (m *loadedFiles) verify(s tls.ConnectionState, serverName string) error {
	if len(s.PeerCertificates) == 0 || m.pool == nil {
		return eris.Wrap(ErrKeys, "no server certificate or no CA to verify it")
	}
	o := x509.VerifyOptions{Roots: m.pool, DNSName: serverName, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

// Watch reloads the files every CheckInterval and on each signal, until the
// context ends. It calls report(nil) after each change, and report with the error
// of a failed reload unless the previous reload failed with the same error.
func (k *Keys) Watch(ctx context.Context, signals <-chan os.Signal, report func(error)) error {
	t := time.NewTicker(CheckInterval)
	defer t.Stop()
	failure := ""
	for {
		select {
		case <-t.C:
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		changed, err := k.Reload()
		if changed || err != nil && err.Error() != failure {
			report(err)
		}
		failure = ""
		if err != nil {
			failure = err.Error()
		}
	}
}
