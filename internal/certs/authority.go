package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// MakeAuthority makes an authority in a folder: ca.pem, for every controller and user,
// and ca.key, for nobody but who makes certificates.
func MakeAuthority(folder, name string, life time.Duration) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	t := template(name, life)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	return issue(folder, "ca", t, nil, nil)
}

// MakeCertificate makes a node's certificate by the authority in the folder. It holds
// for the node's name, by which controllers know one another, and for the hosts by which
// users call it. One that is there is replaced: the controller takes it up by itself.
func MakeCertificate(folder, node string, hosts []string, life time.Duration) error {
	ca, key, err := authority(folder)
	if err != nil {
		return err
	}
	t := template(node, life)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	t.DNSNames = []string{node}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, h)
		}
	}
	for _, f := range []string{".pem", ".key"} {
		if err := os.Remove(filepath.Join(folder, node+f)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("certs: %w", err)
		}
	}
	return issue(folder, node, t, ca, key)
}

func template(name string, life time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject: pkix.Name{CommonName: name, Organization: []string{"rillflow"}},
		// Clocks differ: it holds from a little before.
		NotBefore: now.Add(-life / 1000), NotAfter: now.Add(life),
	}
}

func authority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	der, err := readPEM(filepath.Join(folder, "ca.pem"))
	if err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, fmt.Errorf("certs: %w", err)
	}
	if der, err = readPEM(filepath.Join(folder, "ca.key")); err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(der)
	if err != nil {
		return nil, nil, fmt.Errorf("certs: %w", err)
	}
	return ca, key, nil
}

func readPEM(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	p, _ := pem.Decode(b)
	if p == nil {
		return nil, fmt.Errorf("certs: %s is no PEM", path)
	}
	return p.Bytes, nil
}

// issue signs a certificate for a new key and writes both; by nobody, it signs itself.
func issue(folder, name string, t, by *x509.Certificate, byKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if by == nil {
		by, byKey = t, key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, by, &key.PublicKey, byKey)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if err := write(filepath.Join(folder, name+".key"), "EC PRIVATE KEY", secret, 0o600); err != nil {
		return err
	}
	return write(filepath.Join(folder, name+".pem"), "CERTIFICATE", der, 0o644)
}
