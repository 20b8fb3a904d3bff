// Package tlsfiles owns the certificates of a process: read from the files that
// its settings name, and read again when they change. All processes of a fleet
// trust one authority and check each other's certificates.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"bramleydeal/internal/process/config"
	"github.com/samber/oops"
	"google.golang.org/grpc/credentials"
)

// checkInterval is how often the files are looked at for a change.
const checkInterval = 5 * time.Second

// Files are the certificate files of one process.
type Files struct {
	names config.TLS

	mu          sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	modified    time.Time
	checked     time.Time
}

// Load reads the files named in the settings, nil when none are named.
func Load(names config.TLS) (*Files, error) {
	if names.Certificate == "" {
		return nil, nil
	}
	f := &Files{names: names}
	return f, f.read()
}

func (f *Files) read() error {
	certificate, err := tls.LoadX509KeyPair(f.names.Certificate, f.names.Key)
	if err != nil {
		return oops.Code("tls").Wrapf(err, "tls: certificate and key")
	}
	text, err := os.ReadFile(f.names.Authority)
	if err != nil {
		return oops.Code("tls").Wrapf(err, "tls: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return oops.Code("tls").Errorf("tls: authority: %s holds no certificate", f.names.Authority)
	}
	f.certificate, f.authority, f.modified = &certificate, pool, f.lastChange()
	return nil
}

// lastChange returns the latest change of any of the files.
func (f *Files) lastChange() time.Time {
	var last time.Time
	for _, name := range []string{f.names.Certificate, f.names.Key, f.names.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// current returns the certificate and authority, read again after a change.
// Files that cannot be read, as in the midst of a replacement, leave the old
// ones in force.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) > checkInterval {
		f.checked = now
		if f.lastChange().After(f.modified) {
			// The next check tries again.
			_ = f.read()
		}
	}
	return f.certificate, f.authority
}

// Peers returns the credentials between processes: both sides show a
// certificate of the authority.
func (f *Files) PeerCredentials() credentials.TransportCredentials {
	if f == nil {
		return nil
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c, pool := f.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*c},
				ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2"},
			}, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c, _ := f.current()
			return c, nil
		},
		// The peers are reached by IP numbers and replaced often, so their
		// certificates are checked against the authority and not by name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool := f.current()
			return verify(s, pool)
		},
	})
}

func verify(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return oops.Code("tls").Errorf("the peer shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// Callers returns the TLS settings towards callers, nil when they come in plain.
func (f *Files) CallerTLSConfig() *tls.Config {
	if f == nil || !f.names.Callers {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c, _ := f.current()
			return c, nil
		},
	}
}
