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
	// hkdfInfo separates this key from others derived from the same secret.
	hkdfInfo = "fuchsianotch peer identity 1"
	// handshakeTimeout drops connections to peers that never answer the handshake.
	handshakeTimeout = 5 * time.Second
)

// errPeerKeyMismatch is returned for a peer that does not hold the shared secret.
var errPeerKeyMismatch = errors.New("the peer does not hold the shared peer key")

// TLS returns the configuration of clients and servers for the secret that all VMs
// share. Each side proves possession of a key derived from the secret, so no certificate
// authority is needed and processes without the secret are rejected.
func TLS(secret string) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, hkdfInfo, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errPeerKeyMismatch
	}
	certificate, err := selfSignedCertificate(key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// Certificates are self-signed: VerifyConnection compares the proven key with the
		// derived one instead.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyPeerKey(public),
	}, nil
}

func selfSignedCertificate(key ed25519.PrivateKey) (tls.Certificate, error) {
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

func verifyPeerKey(want ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errPeerKeyMismatch
		}
		got, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !got.Equal(want) {
			return errPeerKeyMismatch
		}
		return nil
	}
}

// clientHandshake secures a dialed connection; a nil config leaves it plain.
func clientHandshake(ctx context.Context, conn net.Conn, config *tls.Config) (net.Conn, error) {
	if config == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}
