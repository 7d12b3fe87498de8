package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLSFiles are the paths of the PEM files of one listener or client. If all are empty,
// TLS is not used.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// ServerConfig returns the TLS configuration of a listener, or nil if there is no
// certificate. With a CA file, it requires client certificates of that CA.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	cert, err := f.loadCertificate()
	if cert == nil || err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
	if f.CA != "" {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs, err = loadCertPool(f.CA)
	}
	return c, err
}

// ClientConfig returns the TLS configuration of a client, or nil if no file is given.
// The CA file replaces the root certificates of the system.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	if f == (TLSFiles{}) {
		return nil, nil
	}
	cert, err := f.loadCertificate()
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if cert != nil {
		c.Certificates = []tls.Certificate{*cert}
	}
	if f.CA != "" {
		c.RootCAs, err = loadCertPool(f.CA)
	}
	return c, err
}

// loadCertificate returns the key pair, or nil if neither file is given.
func (f TLSFiles) loadCertificate() (*tls.Certificate, error) {
	if f.Cert == "" && f.Key == "" {
		return nil, nil
	}
	if f.Cert == "" || f.Key == "" {
		return nil, errors.New("cert-file and key-file must be given together")
	}
	if err := checkOwnerOnly(f.Key); err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, err
	}
	return &cert, nil
}

func loadCertPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s contains no PEM certificate", path)
	}
	return pool, nil
}
