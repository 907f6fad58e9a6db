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

// Credentials proves to both ends of a new connection that the other one is a peer. The connection's deadline is set by
// the caller.
type Credentials interface {
	ClientHandshake(ctx context.Context, conn net.Conn, host string) (net.Conn, error)
	ServerHandshake(ctx context.Context, conn net.Conn) (net.Conn, error)
}

type sharedKey struct{ key []byte }

// SharedKey proves knowledge of a key by HMAC-SHA-256 over nonces of both sides. It does not encrypt the connection.
func SharedKey(key []byte) Credentials { return &sharedKey{key: key} }

var _ Credentials = (*sharedKey)(nil)

// ClientHandshake sends a nonce, checks the server's proof and sends its own.
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
		return nil, errors.WithMessage(err, "read proof")
	}
	copy(nonces[nonceBytes:], reply)
	if !hmac.Equal(reply[nonceBytes:], s.proof("server", nonces)) {
		return nil, errors.New("server has another key")
	}
	_, err := conn.Write(s.proof("client", nonces))
	return conn, err
}

// ServerHandshake answers the client's nonce with its own and a proof, then checks the client's.
func (s *sharedKey) ServerHandshake(_ context.Context, conn net.Conn) (net.Conn, error) {
	nonces := make([]byte, 2*nonceBytes)
	if _, err := io.ReadFull(conn, nonces[:nonceBytes]); err != nil {
		return nil, errors.WithMessage(err, "read nonce")
	}
	if _, err := rand.Read(nonces[nonceBytes:]); err != nil {
		return nil, err
	}
	if _, err := conn.Write(append(append([]byte(nil), nonces[nonceBytes:]...), s.proof("server", nonces)...)); err != nil {
		return nil, err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return nil, errors.WithMessage(err, "read proof")
	}
	if !hmac.Equal(proof, s.proof("client", nonces)) {
		return nil, errors.New("client has another key")
	}
	return conn, nil
}

// proof includes the role, so that a side cannot pass by returning what it was sent.
func (s *sharedKey) proof(role string, nonces []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte("mangopath peer 1 " + role))
	mac.Write(nonces)
	return mac.Sum(nil)
}

type mutualTLS struct{ config *tls.Config }

var _ Credentials = (*mutualTLS)(nil)

// MutualTLS proves and encrypts by certificates of one authority, in PEM files. Certificates name the peers' IP numbers.
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
		return nil, &Error{Op: "MutualTLS", Kind: KindInvalid, Err: errors.Errorf("%s has no certificate", authorityFile)}
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
