// Package token creates and checks the bearer tokens of callers, operators and peers. A
// token is an HMAC of a role and an account with a shared secret, so tokens need not be
// stored or distributed between instances.
//
// # Usage
//
//	s := token.New("current secret", "previous secret")
//	t := s.Mint(token.Caller, "perth-health")
//	account, ok := s.Check(token.Caller, t)
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Role says what the bearer of a token may do.
type Role string

// The roles.
const (
	// Caller may submit, read and cancel the work of its own account.
	Caller Role = "caller"
	// Operator may read and change the cluster text and drain instances.
	Operator Role = "operator"
	// Peer may connect to entries as another entry.
	Peer Role = "peer"
)

// Secrets creates and checks tokens. It is safe for concurrent use.
type Secrets struct {
	keys [][]byte
}

// New returns Secrets that create tokens with the first secret and accept tokens of every
// given secret, so that a secret can be rotated. Empty secrets are ignored.
func New(secrets ...string) *Secrets {
	s := &Secrets{}
	for _, key := range secrets {
		if key != "" {
			s.keys = append(s.keys, []byte(key))
		}
	}
	return s
}

// Mint returns the token of an account in a role. It panics if no secret is set.
func (s *Secrets) Mint(role Role, account string) string {
	if len(s.keys) == 0 {
		panic("token: Mint without a secret")
	}
	return account + "." + sign(s.keys[0], role, account)
}

// Check returns the account of a token and reports whether the token is valid for the
// role. The signature is compared in constant time. Without a secret no token is valid.
func (s *Secrets) Check(role Role, token string) (account string, ok bool) {
	i := strings.LastIndexByte(token, '.')
	if i < 0 {
		return "", false
	}
	account, sig := token[:i], []byte(token[i+1:])
	for _, key := range s.keys {
		if hmac.Equal(sig, []byte(sign(key, role, account))) {
			ok = true
		}
	}
	if !ok {
		return "", false
	}
	return account, true
}

// Bearer returns the token of an Authorization header, or "" if the header has no bearer
// token.
func Bearer(header string) string {
	t, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return ""
	}
	return t
}

func sign(key []byte, role Role, account string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(string(role) + "\x00" + account))
	return hex.EncodeToString(mac.Sum(nil))
}
