package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLSFiles are the PEM files of one listener or client. Empty paths mean that
// TLS is not used.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// ServerConfig returns the configuration of a listener, or nil without certificate.
// With a CA file, clients must show a certificate of that CA.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	cert, err := f.certificate()
	if cert == nil || err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
	if f.CA != "" {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs, err = loadPool(f.CA)
	}
	return c, err
}

// ClientConfig returns the configuration of a client, or nil if no file is given.
// The CA file replaces the system's roots.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	if f == (TLSFiles{}) {
		return nil, nil
	}
	cert, err := f.certificate()
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if cert != nil {
		c.Certificates = []tls.Certificate{*cert}
	}
	if f.CA != "" {
		c.RootCAs, err = loadPool(f.CA)
	}
	return c, err
}

func (f TLSFiles) certificate() (*tls.Certificate, error) {
	if f.Cert == "" && f.Key == "" {
		return nil, nil
	}
	if f.Cert == "" || f.Key == "" {
		return nil, errors.New("cert-file and key-file must be given together")
	}
	if err := checkPrivate(f.Key); err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, err
	}
	return &cert, nil
}

func loadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no PEM certificate", path)
	}
	return pool, nil
}
