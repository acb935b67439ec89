package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"time"
)

const (
	nonceBytes = 16
	// handshakeTimeout limits the authentication of a new connection.
	handshakeTimeout = 2 * time.Second
)

// ErrKeyMismatch is returned when a peer fails to prove that it holds the shared key.
var ErrKeyMismatch = errors.New("the peer does not hold the shared key")

// authenticate performs a mutual challenge-response handshake: each end sends a nonce
// and replies to the other's nonce with an HMAC under the shared key. The HMAC covers
// the role, client or server, so that a proof can't be reflected to its sender.
func authenticate(conn net.Conn, key []byte, isClient bool) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	localNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(localNonce); err != nil {
		return err
	}
	if _, err := conn.Write(localNonce); err != nil {
		return err
	}
	remoteNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, remoteNonce); err != nil {
		return err
	}
	if _, err := conn.Write(computeProof(key, localNonce, remoteNonce, isClient)); err != nil {
		return err
	}
	remoteProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, remoteProof); err != nil {
		return err
	}
	if !hmac.Equal(remoteProof, computeProof(key, remoteNonce, localNonce, !isClient)) {
		return ErrKeyMismatch
	}
	return conn.SetDeadline(time.Time{})
}

// computeProof returns the HMAC by which one end proves that it holds the key.
func computeProof(key, ownNonce, otherNonce []byte, isClient bool) []byte {
	mac := hmac.New(sha256.New, key)
	role := byte('s')
	if isClient {
		role = 'c'
	}
	mac.Write([]byte{role})
	mac.Write(ownNonce)
	mac.Write(otherNonce)
	return mac.Sum(nil)
}
