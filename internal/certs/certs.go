// Package certs puts TLS on the addresses of a controller: certificates from files that
// are read again when they change, listeners that take both kinds of connection while a
// change is rolled out, and a small authority for places that have none.
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

// Modes of an address. A change is rolled out in their order, one start of every
// controller for each.
const (
	Off     = "off"
	Accept  = "accept"  // takes both; dials without
	Prefer  = "prefer"  // takes both; dials with
	Require = "require" // takes and dials with
)

// Keeper has a node's certificate and the authority's, as they are in the files now.
type Keeper struct {
	folder, node string
	log          *slog.Logger
	now          func() time.Time

	mu   sync.Mutex
	cert *tls.Certificate
	pool *x509.CertPool
	read [3]time.Time // of the files, when they were read
}

// Load reads ca.pem, NODE.pem and NODE.key of a folder.
func Load(folder, node string, log *slog.Logger) (*Keeper, error) {
	k := &Keeper{folder: folder, node: node, log: log, now: time.Now}
	return k, k.reload()
}

func (k *Keeper) files() [3]string {
	return [3]string{
		filepath.Join(k.folder, "ca.pem"), filepath.Join(k.folder, k.node+".pem"),
		filepath.Join(k.folder, k.node+".key"),
	}
}

// reload reads the files if any of them changed.
func (k *Keeper) reload() error {
	var at [3]time.Time
	for i, f := range k.files() {
		st, err := os.Stat(f)
		if err != nil {
			return fmt.Errorf("certs: %w", err)
		}
		at[i] = st.ModTime()
	}
	k.mu.Lock()
	same := at == k.read
	k.mu.Unlock()
	if same {
		return nil
	}
	fs := k.files()
	cert, err := tls.LoadX509KeyPair(fs[1], fs[2])
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	ca, err := os.ReadFile(fs[0])
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return fmt.Errorf("certs: %s holds no certificate", fs[0])
	}
	// A certificate that its own authority does not hold for would be refused by all.
	if _, err := cert.Leaf.Verify(
		x509.VerifyOptions{Roots: pool, CurrentTime: k.now(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}},
	); err != nil {
		return fmt.Errorf("certs: %s: %w", fs[1], err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cert, k.pool, k.read = &cert, pool, at
	return nil
}

// Watch reads the files again when they change, until ctx ends, and says ahead when
// the certificate is about to expire. What cannot be read leaves things as they are.
func (k *Keeper) Watch(ctx context.Context, every time.Duration) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if left, soon := k.expires(); soon {
			k.log.Error("the certificate is about to expire", "node", k.node, "left_h", left.Hours())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		before := k.current()
		if err := k.reload(); err != nil {
			k.log.Error("certificates are not read again", "err", err)
		} else if k.current() != before {
			k.log.Info("certificates read again", "until", k.current().Leaf.NotAfter)
		}
	}
}

// lastPart is the share of a certificate's life in which its end is told.
const lastPart = 0.1

func (k *Keeper) expires() (left time.Duration, soon bool) {
	leaf := k.current().Leaf
	left = leaf.NotAfter.Sub(k.now())
	return left, float64(left) < lastPart*float64(leaf.NotAfter.Sub(leaf.NotBefore))
}

func (k *Keeper) current() *tls.Certificate {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cert
}

// Server is how to take connections; mutual asks peers for a certificate of the same
// authority. Each connection is taken by the files as they are then.
func (k *Keeper) Server(mutual bool) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*k.cert}}
		if mutual {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, k.pool
		}
		return c, nil
	}}
}

// Dial puts TLS on a connection to a node, which must show that it is the one.
func (k *Keeper) Dial(ctx context.Context, c net.Conn, node string) (net.Conn, error) {
	k.mu.Lock()
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: node, RootCAs: k.pool,
		Certificates: []tls.Certificate{*k.cert},
	}
	k.mu.Unlock()
	t := tls.Client(c, cfg)
	if err := t.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, fmt.Errorf("certs: %s: %w", node, err)
	}
	return t, nil
}

// Listen puts TLS on a listener as its mode says.
func (k *Keeper) Listen(ln net.Listener, mode string, mutual bool) net.Listener {
	if mode == Off {
		return ln
	}
	return &listener{ln, k.Server(mutual), mode == Require}
}

type listener struct {
	net.Listener
	cfg  *tls.Config
	only bool
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, cfg: l.cfg, only: l.only}, nil
}

// conn finds out by the first byte that comes whether its peer speaks TLS. It does so
// when it is first read, under the deadline of whoever reads: Accept never waits for it.
type conn struct {
	net.Conn
	cfg  *tls.Config
	only bool
	once sync.Once
	in   net.Conn // after the first byte
	err  error
}

// handshake is the first byte of a TLS connection.
const handshake = 0x16

// errPlain: the address takes TLS alone.
var errPlain = errors.New("certs: a connection without TLS")

func (c *conn) begin() {
	var first [1]byte
	if _, c.err = c.Conn.Read(first[:]); c.err != nil {
		return
	}
	back := &prefixed{Conn: c.Conn, first: first[:]}
	switch {
	case first[0] == handshake:
		c.in = tls.Server(back, c.cfg)
	case c.only:
		c.err = errPlain
	default:
		c.in = back
	}
}

func (c *conn) Read(b []byte) (int, error) {
	c.once.Do(c.begin)
	if c.err != nil {
		return 0, c.err
	}
	return c.in.Read(b)
}

func (c *conn) Write(b []byte) (int, error) {
	c.once.Do(c.begin)
	if c.err != nil {
		return 0, c.err
	}
	return c.in.Write(b)
}

// prefixed gives back what was read ahead.
type prefixed struct {
	net.Conn
	first []byte
}

func (p *prefixed) Read(b []byte) (int, error) {
	if len(p.first) > 0 && len(b) > 0 {
		n := copy(b, p.first)
		p.first = p.first[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

// write writes a file of PEM that is not there yet.
func write(path, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	return errors.Join(pem.Encode(f, &pem.Block{Type: kind, Bytes: der}), f.Sync(), f.Close())
}
