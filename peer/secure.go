package peer

import (
	"context"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"time"
)

const (
	// keyInfo separates this use of the shared secret from any other.
	keyInfo = "fuchsianotch peer identity 1"
	// handshakeWithin bounds a handshake, so that a silent connection is dropped.
	handshakeWithin = 5 * time.Second
)

// errPeerKey says that the other side does not hold the shared secret.
var errPeerKey = errors.New("the peer does not hold the shared peer key")

// TLS makes the configuration of both sides from the secret that all VMs
// share. Each side proves that it holds the key derived from the secret, so no
// authority issues certificates, and a process without the secret is refused.
func TLS(secret string) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, keyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errPeerKey
	}
	certificate, err := selfSigned(key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// There is no authority to verify against: VerifyConnection compares
		// the proven key with the derived one instead.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyKey(public),
	}, nil
}

func selfSigned(key ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{
		Certificate: [][]byte{der},
		PrivateKey:  key,
	}, nil
}

func verifyKey(want ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errPeerKey
		}
		got, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !got.Equal(want) {
			return errPeerKey
		}
		return nil
	}
}

// secure runs the handshake of a dialed connection; a nil config leaves it plain.
func secure(ctx context.Context, conn net.Conn, config *tls.Config) (net.Conn, error) {
	if config == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeWithin)
	defer cancel()
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}
