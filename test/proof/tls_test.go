package proof

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/process/config"
	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// certificateAuthority issues certificates for tests. file holds its own certificate.
type certificateAuthority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

// newAuthority returns an authority and writes its certificate to a file in folder.
func newAuthority(t testing.TB, folder, name string) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{t: t, file: filepath.Join(folder, name+".pem")}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// newKey returns a new private key.
func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// writePEM writes a PEM block of type kind to a file.
func writePEM(t testing.TB, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a new certificate and its key to files called name in folder, and returns
// the TLS settings that refer to them. callers enables TLS for callers as well as peers.
func (a *certificateAuthority) issue(folder, name string, callers bool) config.TLS {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := config.TLS{Certificate: filepath.Join(folder, name+".crt"), Key: filepath.Join(folder, name+".key"), Authority: a.file, ForCallers: callers}
	writePEM(a.t, files.Certificate, "CERTIFICATE", der)
	writePEM(a.t, files.Key, "EC PRIVATE KEY", keyDER)
	return files
}

// setTLS adds TLS settings to the settings file of a process, which must be restarted to
// use them.
func (d *deployment) setTLS(name string, files config.TLS) {
	d.t.Helper()
	var c config.Process
	d.readSettings(name, &c)
	c.TLS = files
	text, err := json.Marshal(c)
	if err == nil {
		err = os.WriteFile(filepath.Join(d.folder, name+".json"), text, 0o600)
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

// TestPeersOfAnotherAuthorityAreRejected runs an entry and an agent with certificates of
// one authority, and an entry with a certificate of another authority. The agent must run
// no request of the second entry. After the agent has received certificates of the other
// authority, it must serve that entry without a restart.
func TestPeersOfAnotherAuthorityAreRejected(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 0, services: 1}, nil)
	fleetAuthority, otherAuthority := newAuthority(t, d.folder, "ours"), newAuthority(t, d.folder, "theirs")
	for _, name := range []string{"e1", "e2", "s1"} {
		d.kill(name)
		authority := fleetAuthority
		if name == "e2" {
			authority = otherAuthority
		}
		d.setTLS(name, authority.issue(d.folder, name, true))
		role := "entry"
		if d.processes[name].instance.Role == fleet.AgentRole {
			role = "agent"
		}
		d.restart(name, role)
	}
	roots := x509.NewCertPool()
	roots.AddCert(fleetAuthority.certificate)
	roots.AddCert(otherAuthority.certificate)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}}}
	get := func(entry string) int {
		request, err := http.NewRequest(http.MethodGet, strings.Replace(d.url(entry), "http:", "https:", 1)+"/services/stock/x", nil)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+plannersKey)
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	eventually(t, 10*time.Second, "the entry of the same authority as the agent serves requests", func() bool { return get("e1") == http.StatusOK })
	before := d.totalExecutions("s1")
	eventually(t, 5*time.Second, "the entry of the other authority refuses requests as it has no upstream", func() bool { return get("e2") == http.StatusServiceUnavailable })
	is.Equal(d.totalExecutions("s1"), before) // the agent ran no request of e2

	// Certificate files are reloaded when they change: after the agent has received a
	// certificate of the other authority, and the authority file contains that authority's
	// certificate instead of the former one, e2 can reach the agent and e1 no longer can.
	otherAuthority.issue(d.folder, "s1", false)
	is.NoErr(os.WriteFile(fleetAuthority.file, certificatePEM(otherAuthority.certificate), 0o600))
	eventually(t, 30*time.Second, "the agent uses the new certificate and serves e2", func() bool { return get("e2") == http.StatusOK })
}

// certificatePEM returns a certificate in PEM encoding.
func certificatePEM(c *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})
}

// TestListeningOutsideLoopbackNeedsTLSOrOptOut checks that the settings of an entry are
// rejected if it would listen outside loopback without TLS, unless the setting
// plain-outside-loopback allows it. Unknown settings and a missing listen address are
// rejected too.
func TestListeningOutsideLoopbackNeedsTLSOrOptOut(t *testing.T) {
	is := is.New(t)
	text := `{"name":"a","failure-domain":"x","listen":"192.0.2.1:80","peer-listen":"127.0.0.1:1","platform":"127.0.0.1:2"`
	_, err := config.Parse([]byte(text+"}"), fleet.EntryRole)
	is.True(err != nil && strings.Contains(err.Error(), "plain-outside-loopback"))
	_, err = config.Parse([]byte(text+`, "plain-outside-loopback": true}`), fleet.EntryRole)
	is.NoErr(err)
	_, err = config.Parse([]byte(text+`, "plain-outside": true}`), fleet.EntryRole)
	is.True(err != nil && strings.Contains(err.Error(), "plain-outside"))
	_, err = config.Parse([]byte(`{"name":"a","failure-domain":"x","peer-listen":"127.0.0.1:1","platform":"127.0.0.1:2"}`), fleet.EntryRole)
	is.True(err != nil && strings.Contains(err.Error(), "listen: give the address"))
}
