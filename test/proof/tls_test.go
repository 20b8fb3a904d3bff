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

// authority signs certificates for tests.
type authority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t testing.TB, folder, name string) *authority {
	t.Helper()
	a := &authority{t: t, file: filepath.Join(folder, name+".pem")}
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

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func writePEM(t testing.TB, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate and key and returns the settings that name them.
func (a *authority) issue(folder, name string, callers bool) config.TLS {
	a.t.Helper()
	k := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	out := config.TLS{Certificate: filepath.Join(folder, name+".crt"), Key: filepath.Join(folder, name+".key"), Authority: a.file, ForCallers: callers}
	writePEM(a.t, out.Certificate, "CERTIFICATE", der)
	writePEM(a.t, out.Key, "EC PRIVATE KEY", secret)
	return out
}

// secure gives a stopped process certificates.
func (d *deployment) secure(name string, files config.TLS) {
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

// TestOnlyPeersOfTheSameAuthorityGiveOrders runs a fleet over mutual TLS, and an
// entry of another authority beside it.
func TestOnlyPeersOfTheSameAuthorityGiveOrders(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 0, services: 1}, nil)
	ours, theirs := newAuthority(t, d.folder, "ours"), newAuthority(t, d.folder, "theirs")
	for _, name := range []string{"e1", "e2", "s1"} {
		d.kill(name)
		a := ours
		if name == "e2" {
			a = theirs
		}
		d.secure(name, a.issue(d.folder, name, true))
		role := "entry"
		if d.processes[name].instance.Role == fleet.AgentRole {
			role = "agent"
		}
		d.restart(name, role)
	}
	roots := x509.NewCertPool()
	roots.AddCert(ours.certificate)
	roots.AddCert(theirs.certificate)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}}}
	get := func(entry string) int {
		request, err := http.NewRequest(http.MethodGet, strings.Replace(d.url(entry), "http:", "https:", 1)+"/services/stock/x", nil)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	eventually(t, 10*time.Second, "the entry with our certificate serves", func() bool { return get("e1") == http.StatusOK })
	before := d.ran("s1")
	eventually(t, 5*time.Second, "the other entry is up", func() bool { return get("e2") == http.StatusServiceUnavailable })
	is.Equal(d.ran("s1"), before) // the agent took nothing from it

	// Certificates are read again when they change: after the agent has changed
	// sides, the other entry serves and ours does not.
	theirs.issue(d.folder, "s1", false)
	is.NoErr(os.WriteFile(ours.file, pemOf(theirs.certificate), 0o600))
	eventually(t, 30*time.Second, "the agent has the new certificate", func() bool { return get("e2") == http.StatusOK })
}

func pemOf(c *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})
}

func TestListeningOffLoopbackNeedsTLSOrTheWord(t *testing.T) {
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
