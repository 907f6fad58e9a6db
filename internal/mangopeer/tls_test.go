package mangopeer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key, and returns their paths.
func writeCertificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	certFile, keyFile = filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
	return certFile, keyFile
}

// Guards against a client that is accepted with a certificate of another authority.
func TestCertificateOfOtherAuthorityIsRejected(t *testing.T) {
	is := is.New(t)
	cert, key := writeCertificate(t)
	credentials, err := mangopeer.MutualTLS(cert, key, cert)
	is.NoErr(err)
	address := serveCredentials(t, &handler{}, credentials).Addr().String()
	client := mangopeer.NewClient(credentials)
	defer client.Close()
	_, err = client.Exchange(t.Context(), address, &mangomessage.ExchangeRequest{})
	is.NoErr(err)
	otherCert, otherKey := writeCertificate(t)
	otherCredentials, err := mangopeer.MutualTLS(otherCert, otherKey, cert)
	is.NoErr(err)
	otherClient := mangopeer.NewClient(otherCredentials)
	defer otherClient.Close()
	_, err = otherClient.Exchange(t.Context(), address, &mangomessage.ExchangeRequest{})
	is.True(err != nil)
}
