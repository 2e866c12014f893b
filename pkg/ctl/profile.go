package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/medlarsill/medlarsill/pkg/httpconn"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// profileName is the name of the default profile in the user's configuration directory.
const profileName = "medlarctl.json"

// profile holds the addresses and credentials for the admin processes.
type profile struct {
	// Servers lists base URLs of admin processes.
	Servers []string `json:"server"`
	// KeyFile is the path of a file that holds the key.
	KeyFile string `json:"key_file"`
	// CA is the path of a PEM file with the trusted certificate authorities.
	CA string `json:"ca"`
	// Key is the operator's key.
	Key string `json:"key"`
}

// resolveProfile combines the profile file, the environment and the flags. Flags
// take precedence.
func (a *app) resolveProfile() (*profile, error) {
	p, err := a.readProfile()
	if err != nil {
		return nil, err
	}
	servers := slices.DeleteFunc(a.Server, func(s string) bool { return s == "" })
	if len(servers) > 0 {
		p.Servers = servers
	}
	if a.CA != "" {
		p.CA = a.CA
	}
	if err := a.resolveKey(p); err != nil {
		return nil, err
	}
	if len(p.Servers) == 0 {
		return nil, usageError("no server: give --server, MEDLARCTL_SERVER or a profile")
	}
	if p.Key == "" {
		return nil, usageError("no key: give --key-file, MEDLARCTL_KEY or a profile")
	}
	return p, nil
}

// readProfile reads the profile named by --profile, or the default profile if it exists.
func (a *app) readProfile() (*profile, error) {
	p := &profile{}
	if a.Profile != "" {
		return p, strictjson.ReadFile(a.Profile, p)
	}
	dir, err := os.UserConfigDir()
	if err != nil {
		return p, nil
	}
	path := filepath.Join(dir, profileName)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return p, nil
	}
	return p, strictjson.ReadFile(path, p)
}

// resolveKey sets the key from --key-file, MEDLARCTL_KEY or the profile, in this order.
func (a *app) resolveKey(p *profile) error {
	if key := os.Getenv("MEDLARCTL_KEY"); key != "" && a.KeyFile == "" {
		p.Key = key
		return nil
	}
	if a.KeyFile != "" {
		p.KeyFile = a.KeyFile
	}
	if p.KeyFile == "" {
		return nil
	}
	data, err := os.ReadFile(p.KeyFile)
	if err != nil {
		return usageError(err.Error())
	}
	p.Key = strings.TrimSpace(string(data))
	return nil
}

// newHTTPClient returns a client that trusts the certificate authorities in the
// file ca, or those of the system if ca is empty.
func newHTTPClient(ca string) (*http.Client, error) {
	if ca == "" {
		return &http.Client{Transport: httpconn.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}, nil
	}
	data, err := os.ReadFile(ca)
	if err != nil {
		return nil, usageError(err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usageError(ca + " contains no PEM certificate")
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &http.Client{Transport: httpconn.NewTransport(transport)}, nil
}
