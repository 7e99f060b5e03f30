// Package certs provides TLS for the addresses of a controller: certificates from files
// that are reloaded when they change, listeners that accept connections with and without
// TLS while it is rolled out, and a minimal certificate authority for deployments that have
// none of their own.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Modes of an address. TLS is rolled out by going through them in this order, with a
// restart of all controllers for each.
const (
	Off     = "off"
	Accept  = "accept"  // accepts both; dials without TLS
	Prefer  = "prefer"  // accepts both; dials with TLS
	Require = "require" // accepts and dials with TLS only
)

// Reloader holds a node's certificate and the authority's certificate, and reloads them when
// their files change. It is safe for concurrent use.
type Reloader struct {
	folder, node string
	log          *slog.Logger
	now          func() time.Time

	mu       sync.Mutex
	cert     *tls.Certificate
	pool     *x509.CertPool
	modTimes [3]time.Time // of the files when they were last read, in the order of files
}

// Load reads ca.pem, NODE.pem and NODE.key from a folder.
func Load(folder, node string, log *slog.Logger) (*Reloader, error) {
	reloader := &Reloader{folder: folder, node: node, log: log, now: time.Now}
	return reloader, reloader.reload()
}

// files returns the paths of the authority's certificate, the node's certificate and its key.
func (reloader *Reloader) files() [3]string {
	return [3]string{
		filepath.Join(reloader.folder, "ca.pem"), filepath.Join(reloader.folder, reloader.node+".pem"),
		filepath.Join(reloader.folder, reloader.node+".key"),
	}
}

// reload reads the files if any of them has changed.
func (reloader *Reloader) reload() error {
	var modTimes [3]time.Time
	for i, path := range reloader.files() {
		info, err := os.Stat(path)
		if err != nil {
			return fmt.Errorf("certs: %w", err)
		}
		modTimes[i] = info.ModTime()
	}
	reloader.mu.Lock()
	unchanged := modTimes == reloader.modTimes
	reloader.mu.Unlock()
	if unchanged {
		return nil
	}
	paths := reloader.files()
	cert, err := tls.LoadX509KeyPair(paths[1], paths[2])
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	ca, err := os.ReadFile(paths[0])
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return fmt.Errorf("certs: no certificate in %s", paths[0])
	}
	// All peers would reject a certificate that the authority did not sign.
	if _, err := cert.Leaf.Verify(
		x509.VerifyOptions{Roots: pool, CurrentTime: reloader.now(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}},
	); err != nil {
		return fmt.Errorf("certs: %s: %w", paths[1], err)
	}
	reloader.mu.Lock()
	defer reloader.mu.Unlock()
	reloader.cert, reloader.pool, reloader.modTimes = &cert, pool, modTimes
	return nil
}

// Watch checks the files for changes at each interval and reloads them, until ctx ends. The
// previous certificates stay in use if the files are invalid. It also logs an error when the
// certificate is about to expire.
func (reloader *Reloader) Watch(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if left, expiresSoon := reloader.timeToExpiry(); expiresSoon {
			reloader.log.Error("the certificate is about to expire", "node", reloader.node, "left_h", left.Hours())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		before := reloader.current()
		if err := reloader.reload(); err != nil {
			reloader.log.Error("certificates not reloaded", "err", err)
		} else if reloader.current() != before {
			reloader.log.Info("certificates reloaded", "until", reloader.current().Leaf.NotAfter)
		}
	}
}

// expiryWarningShare is the final part of a certificate's lifetime, in which Watch warns of
// its expiry.
const expiryWarningShare = 0.1

// timeToExpiry returns how long the certificate is still valid, and whether that is soon
// enough for a warning.
func (reloader *Reloader) timeToExpiry() (left time.Duration, expiresSoon bool) {
	leaf := reloader.current().Leaf
	left = leaf.NotAfter.Sub(reloader.now())
	return left, float64(left) < expiryWarningShare*float64(leaf.NotAfter.Sub(leaf.NotBefore))
}

func (reloader *Reloader) current() *tls.Certificate {
	reloader.mu.Lock()
	defer reloader.mu.Unlock()
	return reloader.cert
}

// ServerConfig returns the TLS configuration for incoming connections. If mutual is set,
// clients must present a certificate of the same authority. Each connection uses the
// certificates that are current at its handshake.
func (reloader *Reloader) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		reloader.mu.Lock()
		defer reloader.mu.Unlock()
		config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*reloader.cert}}
		if mutual {
			config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, reloader.pool
		}
		return config, nil
	}}
}

// ClientHandshake performs the client's TLS handshake on a connection to a node, which must present a
// certificate for its name. It closes the connection if the handshake fails.
func (reloader *Reloader) ClientHandshake(ctx context.Context, plain net.Conn, node string) (net.Conn, error) {
	reloader.mu.Lock()
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: node, RootCAs: reloader.pool,
		Certificates: []tls.Certificate{*reloader.cert},
	}
	reloader.mu.Unlock()
	secure := tls.Client(plain, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		plain.Close()
		return nil, fmt.Errorf("certs: %s: %w", node, err)
	}
	return secure, nil
}

// WrapListener wraps a listener to accept connections as the mode specifies; see ServerConfig
// for mutual.
func (reloader *Reloader) WrapListener(inner net.Listener, mode string, mutual bool) net.Listener {
	if mode == Off {
		return inner
	}
	return &listener{inner, reloader.ServerConfig(mutual), mode == Require}
}

// listener accepts connections with TLS and, unless requireTLS is set, also without.
type listener struct {
	net.Listener
	config     *tls.Config
	requireTLS bool
}

func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, config: l.config, requireTLS: l.requireTLS}, nil
}

// conn detects from the first byte received whether its peer uses TLS. It does so on the
// first read or write, under the caller's deadline, so that Accept never blocks on it.
type conn struct {
	net.Conn
	config     *tls.Config
	requireTLS bool
	once       sync.Once
	stream     net.Conn // stream of application data, set by detectTLS
	err        error
}

// tlsHandshakeRecord is the record type in the first byte of a TLS connection.
const tlsHandshakeRecord = 0x16

// errNoTLS means that a connection without TLS came to an address that requires it.
var errNoTLS = errors.New("certs: connection without TLS refused")

// detectTLS reads the first byte and sets stream or err.
func (c *conn) detectTLS() {
	var first [1]byte
	if _, c.err = c.Conn.Read(first[:]); c.err != nil {
		return
	}
	replayed := &prefixedConn{Conn: c.Conn, first: first[:]}
	switch {
	case first[0] == tlsHandshakeRecord:
		c.stream = tls.Server(replayed, c.config)
	case c.requireTLS:
		c.err = errNoTLS
	default:
		c.stream = replayed
	}
}

func (c *conn) Read(b []byte) (int, error) {
	c.once.Do(c.detectTLS)
	if c.err != nil {
		return 0, c.err
	}
	return c.stream.Read(b)
}

func (c *conn) Write(b []byte) (int, error) {
	c.once.Do(c.detectTLS)
	if c.err != nil {
		return 0, c.err
	}
	return c.stream.Write(b)
}

// prefixedConn returns the bytes that were already read before those of the connection.
type prefixedConn struct {
	net.Conn
	first []byte
}

func (p *prefixedConn) Read(b []byte) (int, error) {
	if len(p.first) > 0 && len(b) > 0 {
		n := copy(b, p.first)
		p.first = p.first[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

// writePEM writes a new PEM file. It fails if the file exists.
func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	return errors.Join(pem.Encode(file, &pem.Block{Type: blockType, Bytes: der}), file.Sync(), file.Close())
}
