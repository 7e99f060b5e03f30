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

// MakeAuthority creates a certificate authority in a folder: ca.pem, which every controller
// and user needs, and ca.key, which only the issuer of certificates may have.
func MakeAuthority(folder, name string, lifetime time.Duration) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	certificate := template(name, lifetime)
	certificate.IsCA, certificate.BasicConstraintsValid, certificate.KeyUsage = true, true, x509.KeyUsageCertSign
	return issue(folder, "ca", certificate, nil, nil)
}

// MakeCertificate issues a node's certificate, signed by the authority in the folder. It is
// valid for the node's name, which controllers verify, and for the hosts under which users
// reach the node. An existing certificate is replaced; a running controller reloads it.
func MakeCertificate(folder, node string, hosts []string, lifetime time.Duration) error {
	ca, caKey, err := loadAuthority(folder)
	if err != nil {
		return err
	}
	certificate := template(node, lifetime)
	certificate.KeyUsage = x509.KeyUsageDigitalSignature
	certificate.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certificate.DNSNames = []string{node}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			certificate.IPAddresses = append(certificate.IPAddresses, ip)
		} else {
			certificate.DNSNames = append(certificate.DNSNames, host)
		}
	}
	for _, extension := range []string{".pem", ".key"} {
		if err := os.Remove(filepath.Join(folder, node+extension)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("certs: %w", err)
		}
	}
	return issue(folder, node, certificate, ca, caKey)
}

// template returns the fields that all certificates have in common.
func template(name string, lifetime time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject: pkix.Name{CommonName: name, Organization: []string{"rillflow"}},
		// Valid from slightly earlier, because clocks differ.
		NotBefore: now.Add(-lifetime / 1000), NotAfter: now.Add(lifetime),
	}
}

// loadAuthority reads the authority's certificate and key from a folder.
func loadAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
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
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return nil, fmt.Errorf("certs: %s is not a PEM file", path)
	}
	return block.Bytes, nil
}

// issue generates a key, signs a certificate for it and writes both files. The certificate
// is self-signed if issuer is nil.
func issue(folder, name string, certificate, issuer *x509.Certificate, issuerKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if issuer == nil {
		issuer, issuerKey = certificate, key
	}
	der, err := x509.CreateCertificate(rand.Reader, certificate, issuer, &key.PublicKey, issuerKey)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if err := writePEM(filepath.Join(folder, name+".key"), "EC PRIVATE KEY", keyDER, 0o600); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, name+".pem"), "CERTIFICATE", der, 0o644)
}
