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
	nonceBytes    = 16
	handshakeTime = 2 * time.Second
)

// ErrKeyMismatch reports a peer that doesn't hold the shared key.
var ErrKeyMismatch = errors.New("the peer does not hold the shared key")

// authenticate proves to both ends that the other holds the key. Each sends a
// nonce and answers the other's with a code under the key. The role is part of
// the code, so that an answer can't be sent back to its sender.
func authenticate(conn net.Conn, key []byte, caller bool) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTime)); err != nil {
		return err
	}
	mine := make([]byte, nonceBytes)
	if _, err := rand.Read(mine); err != nil {
		return err
	}
	if _, err := conn.Write(mine); err != nil {
		return err
	}
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, mine, theirs, caller)); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if !hmac.Equal(answer, proof(key, theirs, mine, !caller)) {
		return ErrKeyMismatch
	}
	return conn.SetDeadline(time.Time{})
}

func proof(key, own, other []byte, caller bool) []byte {
	mac := hmac.New(sha256.New, key)
	role := byte('s')
	if caller {
		role = 'c'
	}
	mac.Write([]byte{role})
	mac.Write(own)
	mac.Write(other)
	return mac.Sum(nil)
}
