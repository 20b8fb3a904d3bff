// Package tlsfiles provides the TLS configurations of a process from the certificate
// files that its settings name, and reloads the files when they change. All processes
// of a fleet trust the same authority and verify each other's certificates.
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

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = 5 * time.Second

// Files are the certificate files of a process with their current contents. A nil
// *Files means that the process uses no TLS. Files is safe for concurrent use.
type Files struct {
	names config.TLS

	mu          sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	// modifiedAt is the latest modification time of the files when they were read.
	modifiedAt time.Time
	// checkedAt is when the files were last checked for changes.
	checkedAt time.Time
}

// Load reads the files that names specifies. It returns nil if names specifies none.
func Load(names config.TLS) (*Files, error) {
	if names.Certificate == "" {
		return nil, nil
	}
	f := &Files{names: names}
	return f, f.read()
}

// read reads the files. If any of them is invalid, it returns an error and changes
// nothing. The caller holds f.mu or has not shared f yet.
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
	f.certificate, f.authority, f.modifiedAt = &certificate, pool, f.lastModified()
	return nil
}

// lastModified returns the latest modification time of the files.
func (f *Files) lastModified() time.Time {
	var last time.Time
	for _, name := range []string{f.names.Certificate, f.names.Key, f.names.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// current returns the certificate and the authority. It reads the files again if they
// have changed, at most every checkInterval. If they cannot be read, for example while
// they are being replaced, it returns the previous contents.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checkedAt) > checkInterval {
		f.checkedAt = now
		if f.lastModified().After(f.modifiedAt) {
			// After an error, the next check reads the files again.
			_ = f.read()
		}
	}
	return f.certificate, f.authority
}

// PeerCredentials returns the credentials for connections between processes: both
// sides must present a certificate of the authority. It returns nil if the process
// uses no TLS.
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
		// Peers are reached by IP address and replaced often, so their certificates
		// are verified against the authority but not against a host name.
		// VerifyConnection does that instead of the default verification.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool := f.current()
			return verify(s, pool)
		},
	})
}

// verify checks that the peer's certificate was issued by an authority in pool.
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

// CallerTLSConfig returns the TLS configuration for callers' connections, or nil if
// callers connect without TLS.
func (f *Files) CallerTLSConfig() *tls.Config {
	if f == nil || !f.names.ForCallers {
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
