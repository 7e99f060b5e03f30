package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newFolder creates a folder with an authority and the nodes' certificates.
func newFolder(t *testing.T, nodes ...string) string {
	dir := t.TempDir()
	err := MakeAuthority(dir, "test", time.Hour)
	for _, node := range nodes {
		err = errors.Join(err, MakeCertificate(dir, node, []string{"127.0.0.1"}, time.Hour))
	}
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

func loadKeeper(t *testing.T, dir, node string) *Reloader {
	reloader, err := Load(dir, node, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return reloader
}

// startEchoServer starts a server that returns what it receives, and returns its address.
func startEchoServer(t *testing.T, reloader *Reloader, mode string, mutual bool) string {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	wrapped := reloader.WrapListener(inner, mode, mutual)
	t.Cleanup(func() { wrapped.Close() })
	go func() {
		for {
			accepted, err := wrapped.Accept()
			if err != nil {
				return
			}
			go func() {
				defer accepted.Close()
				io.Copy(accepted, accepted)
			}()
		}
	}()
	return inner.Addr().String()
}

// echoes reports whether the echo server answers on a connection.
func echoes(client net.Conn, err error) bool {
	if err != nil {
		return false
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(5 * time.Second))
	got := make([]byte, 5)
	if _, err := client.Write([]byte("hello")); err != nil {
		return false
	}
	_, err = io.ReadFull(client, got)
	return err == nil && string(got) == "hello"
}

// Guards against a listener that refuses a client which its mode allows, or accepts one
// which it does not.
func TestListenerModes(t *testing.T) {
	dir := newFolder(t, "host-0", "host-1")
	server, peer := loadKeeper(t, dir, "host-0"), loadKeeper(t, dir, "host-1")
	otherAuthority := loadKeeper(t, newFolder(t, "host-1"), "host-1")
	plain := func(addr string) (net.Conn, error) { return net.Dial("tcp", addr) }
	asPeer := func(reloader *Reloader, node string) func(string) (net.Conn, error) {
		return func(addr string) (net.Conn, error) {
			client, err := net.Dial("tcp", addr)
			if err != nil {
				return nil, err
			}
			return reloader.ClientHandshake(context.Background(), client, node)
		}
	}
	// asUser trusts the authority and has no certificate of its own.
	asUser := func(addr string) (net.Conn, error) {
		pem, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(pem)
		if err != nil {
			return nil, err
		}
		return tls.Dial("tcp", addr, &tls.Config{RootCAs: pool})
	}
	for _, tc := range []struct {
		name   string
		mode   string
		mutual bool
		dial   func(string) (net.Conn, error)
		want   bool
	}{
		{"accept mode, no TLS", Accept, true, plain, true},
		{"accept mode, peer with TLS", Accept, true, asPeer(peer, "host-0"), true},
		{"prefer mode, no TLS", Prefer, true, plain, true},
		{"require mode, no TLS", Require, true, plain, false},
		{"require mode, peer with TLS", Require, true, asPeer(peer, "host-0"), true},
		{"peer of another authority", Require, true, asPeer(otherAuthority, "host-0"), false},
		{"server has another name", Require, true, asPeer(peer, "host-2"), false},
		{"peer without a certificate", Require, true, asUser, false},
		{"user without a certificate", Require, false, asUser, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := echoes(tc.dial(startEchoServer(t, server, tc.mode, tc.mutual))); got != tc.want {
				t.Errorf("server answered: %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a renewed certificate that is used only after a restart, against loading
// files that are half written or of another authority, and against a certificate that is
// about to expire without a log message.
func TestReload(t *testing.T) {
	dir := newFolder(t, "host-0")
	reloader := loadKeeper(t, dir, "host-0")
	oldSerial := reloader.current().Leaf.SerialNumber
	if err := MakeCertificate(dir, "host-0", nil, time.Hour); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Minute) // the file system's times may be too coarse to differ
	os.Chtimes(filepath.Join(dir, "host-0.pem"), later, later)
	if err := reloader.reload(); err != nil || reloader.current().Leaf.SerialNumber.Cmp(oldSerial) == 0 {
		t.Errorf("renewed certificate not loaded: %v", err)
	}
	renewed := reloader.current()
	if err := os.WriteFile(filepath.Join(dir, "host-0.key"), []byte("half a ke"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := reloader.reload(); err == nil || reloader.current() != renewed {
		t.Errorf("reload with a half-written key: got error %v, want an error and the previous certificate", err)
	}
	if _, expiresSoon := reloader.timeToExpiry(); expiresSoon {
		t.Error("expiry warning one hour before the certificate expires")
	}
	reloader.now = func() time.Time { return time.Now().Add(57 * time.Minute) }
	var log bytes.Buffer
	reloader.log = slog.New(slog.NewTextHandler(&log, nil))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reloader.Watch(ctx, time.Hour)
	if !strings.Contains(log.String(), "about to expire") {
		t.Errorf("no expiry warning in the log: %q", log.String())
	}
	mixedDir := newFolder(t, "host-0")
	ca, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(mixedDir, "ca.pem"), ca, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(mixedDir, "host-0", slog.New(slog.DiscardHandler)); err == nil {
		t.Error("certificate of another authority was loaded")
	}
}
