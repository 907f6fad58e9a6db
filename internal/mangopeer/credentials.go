package mangopeer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"

	"github.com/pkg/errors"
)

const nonceBytes = 32

// Credentials authenticate both ends of a new connection as peers. The caller sets the deadline of the connection.
type Credentials interface {
	// ClientHandshake authenticates the connection on the side that opened it; host is the name or IP address of the peer.
	ClientHandshake(ctx context.Context, conn net.Conn, host string) (net.Conn, error)
	// ServerHandshake authenticates the connection on the side that accepted it.
	ServerHandshake(ctx context.Context, conn net.Conn) (net.Conn, error)
}

type sharedKey struct{ key []byte }

// SharedKey returns credentials by which both sides prove that they know a key, by HMAC-SHA-256 over nonces of both.
// They do not encrypt the connection.
func SharedKey(key []byte) Credentials { return &sharedKey{key: key} }

var _ Credentials = (*sharedKey)(nil)

// ClientHandshake sends a nonce, checks the server's proof and sends the client's.
func (s *sharedKey) ClientHandshake(_ context.Context, conn net.Conn, _ string) (net.Conn, error) {
	nonces := make([]byte, 2*nonceBytes)
	if _, err := rand.Read(nonces[:nonceBytes]); err != nil {
		return nil, err
	}
	if _, err := conn.Write(nonces[:nonceBytes]); err != nil {
		return nil, err
	}
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return nil, errors.WithMessage(err, "read the server's nonce and proof")
	}
	copy(nonces[nonceBytes:], reply)
	if !hmac.Equal(reply[nonceBytes:], s.proof("server", nonces)) {
		return nil, errors.New("the server's proof does not match the shared key")
	}
	_, err := conn.Write(s.proof("client", nonces))
	return conn, err
}

// ServerHandshake answers the client's nonce with a nonce and a proof, then checks the client's proof.
func (s *sharedKey) ServerHandshake(_ context.Context, conn net.Conn) (net.Conn, error) {
	nonces := make([]byte, 2*nonceBytes)
	if _, err := io.ReadFull(conn, nonces[:nonceBytes]); err != nil {
		return nil, errors.WithMessage(err, "read the client's nonce")
	}
	if _, err := rand.Read(nonces[nonceBytes:]); err != nil {
		return nil, err
	}
	if _, err := conn.Write(append(append([]byte(nil), nonces[nonceBytes:]...), s.proof("server", nonces)...)); err != nil {
		return nil, err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return nil, errors.WithMessage(err, "read the client's proof")
	}
	if !hmac.Equal(proof, s.proof("client", nonces)) {
		return nil, errors.New("the client's proof does not match the shared key")
	}
	return conn, nil
}

// proof returns the HMAC of a role and the nonces. The role is included so that a side cannot authenticate by returning
// the proof that it was sent.
func (s *sharedKey) proof(role string, nonces []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte("mangopath peer 1 " + role))
	mac.Write(nonces)
	return mac.Sum(nil)
}

type mutualTLS struct{ config *tls.Config }

var _ Credentials = (*mutualTLS)(nil)

// MutualTLS returns credentials for TLS 1.3 with certificates of one authority on both sides, read from PEM files. The
// certificate of a server must name the IP address under which it is called.
func MutualTLS(certFile, keyFile, authorityFile string) (Credentials, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, &Error{Op: "MutualTLS", Kind: KindInvalid, Err: err}
	}
	raw, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, &Error{Op: "MutualTLS", Kind: KindInvalid, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, &Error{Op: "MutualTLS", Kind: KindInvalid, Err: errors.Errorf("authority file %s has no PEM certificate", authorityFile)}
	}
	return &mutualTLS{config: &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}}, nil
}

func (s *mutualTLS) ClientHandshake(ctx context.Context, conn net.Conn, host string) (net.Conn, error) {
	config := s.config.Clone()
	config.ServerName = host
	c := tls.Client(conn, config)
	return c, c.HandshakeContext(ctx)
}

func (s *mutualTLS) ServerHandshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	c := tls.Server(conn, s.config)
	return c, c.HandshakeContext(ctx)
}
