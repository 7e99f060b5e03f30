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

func folder(t *testing.T, nodes ...string) string {
	dir := t.TempDir()
	err := MakeAuthority(dir, "test", time.Hour)
	for _, n := range nodes {
		err = errors.Join(err, MakeCertificate(dir, n, []string{"127.0.0.1"}, time.Hour))
	}
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

func load(t *testing.T, dir, node string) *Keeper {
	k, err := Load(dir, node, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// echo serves a listener: it gives back what comes.
func echo(t *testing.T, k *Keeper, mode string, mutual bool) string {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := k.Listen(raw, mode, mutual)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return raw.Addr().String()
}

// says tells whether a connection answers.
func says(c net.Conn, err error) bool {
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	got := make([]byte, 5)
	if _, err := c.Write([]byte("hello")); err != nil {
		return false
	}
	_, err = io.ReadFull(c, got)
	return err == nil && string(got) == "hello"
}

func TestModes(t *testing.T) {
	dir := folder(t, "host-0", "host-1")
	zero, one := load(t, dir, "host-0"), load(t, dir, "host-1")
	stranger := load(t, folder(t, "host-1"), "host-1")
	plain := func(addr string) (net.Conn, error) { return net.Dial("tcp", addr) }
	as := func(k *Keeper, node string) func(string) (net.Conn, error) {
		return func(addr string) (net.Conn, error) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return nil, err
			}
			return k.Dial(context.Background(), c, node)
		}
	}
	// browser is a user: it trusts the authority and has no certificate.
	browser := func(addr string) (net.Conn, error) {
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
		{"accept takes plain", Accept, true, plain, true},
		{"accept takes a peer", Accept, true, as(one, "host-0"), true},
		{"prefer takes plain", Prefer, true, plain, true},
		{"require takes no plain", Require, true, plain, false},
		{"require takes a peer", Require, true, as(one, "host-0"), true},
		{"a peer of another authority", Require, true, as(stranger, "host-0"), false},
		{"not the node that was meant", Require, true, as(one, "host-2"), false},
		{"a peer without a certificate", Require, true, browser, false},
		{"a user without a certificate", Require, false, browser, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := says(tc.dial(echo(t, zero, tc.mode, tc.mutual))); got != tc.want {
				t.Errorf("answered: %v, want %v", got, tc.want)
			}
		})
	}
}

// A certificate made anew is shown without a restart; files that do not go together
// leave the one there was; its end is told ahead.
func TestReload(t *testing.T) {
	dir := folder(t, "host-0")
	k := load(t, dir, "host-0")
	was := k.current().Leaf.SerialNumber
	if err := MakeCertificate(dir, "host-0", nil, time.Hour); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Minute) // a file system may not tell two writes apart
	os.Chtimes(filepath.Join(dir, "host-0.pem"), later, later)
	if err := k.reload(); err != nil || k.current().Leaf.SerialNumber.Cmp(was) == 0 {
		t.Errorf("still the old one: %v", err)
	}
	is := k.current()
	if err := os.WriteFile(filepath.Join(dir, "host-0.key"), []byte("half a ke"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := k.reload(); err == nil || k.current() != is {
		t.Errorf("half a key was taken: %v", err)
	}
	if _, soon := k.expires(); soon {
		t.Error("it is to expire, an hour ahead")
	}
	k.now = func() time.Time { return time.Now().Add(57 * time.Minute) }
	var log bytes.Buffer
	k.log = slog.New(slog.NewTextHandler(&log, nil))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	k.Watch(ctx, time.Hour)
	if !strings.Contains(log.String(), "about to expire") {
		t.Errorf("not told: %q", log.String())
	}
	stray := folder(t, "host-0")
	ca, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(stray, "ca.pem"), ca, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(stray, "host-0", slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a certificate of another authority was taken")
	}
}
