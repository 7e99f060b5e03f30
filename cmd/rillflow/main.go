// Command rillflow is a cluster scheduler. `rillflow serve` runs one
// controller; the other verbs look at settings and at a running controller.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"rillflow/internal/serve"
	"rillflow/internal/settings"
)

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run a controller."`
	Check    checkCmd    `cmd:"" help:"Check settings without starting anything."`
	Status   statusCmd   `cmd:"" help:"Show what a running controller knows, as JSON."`
	Audit    auditCmd    `cmd:"" help:"The record of who did what and what was decided."`
	Token    tokenCmd    `cmd:"" help:"Identities and their tokens."`
	Rights   rightsCmd   `cmd:"" help:"Who may do what."`
	Keys     keysCmd     `cmd:"" help:"The key ring that tokens and the record rest on."`
	Snapshot snapshotCmd `cmd:"" help:"Copies of what the state service holds, for the day it loses data."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

type files struct {
	Config   string `required:"" help:"The platform's settings file (TOML)." placeholder:"FILE"`
	Operator string `help:"The operators' settings file (XML). Default: rillflow.xml beside the platform's file, if there." placeholder:"FILE"`
}

type serveCmd struct{ files }

func (c *serveCmd) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level(os.Getenv("LOG_LEVEL"))}))
	set, err := settings.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// The garbage collector works harder near this goal, well before the
	// platform ends the process.
	debug.SetMemoryLimit(int64(set.Operator.Limits.Memory * set.Facts.Resources.MemoryMB * (1 << 20)))
	err = serve.Run(ctx, set, serve.TCP(set.HeartbeatInterval()), log.With("node", set.Name))
	if err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

type checkCmd struct{ files }

func (c *checkCmd) Run() error {
	set, err := settings.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	fmt.Printf(
		"ok: %s of %d controllers, %d teams, frugal: %v\n", set.Name, 1+len(set.Peers),
		len(set.Facts.Teams), set.NeverScalesAhead(),
	)
	return nil
}

type statusCmd struct {
	Addr  string `arg:"" help:"A controller's front address, HOST:PORT."`
	CA    string `help:"Ask over TLS, and trust this authority (PEM)." placeholder:"FILE"`
	Token string `env:"RILLFLOW_TOKEN" help:"Your token, where identities are on."`
}

func (c *statusCmd) Run() error {
	client, scheme := http.Client{Timeout: 5 * time.Second}, "http"
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		if err != nil {
			return err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("%s holds no certificate", c.CA)
		}
		scheme, client.Transport = "https", &http.Transport{
			TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
		}
	}
	req, err := http.NewRequest(http.MethodGet, scheme+"://"+c.Addr+"/operator/status", nil)
	if err != nil {
		return err
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, 16<<20))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", res.Status)
	}
	var v any
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("rillflow", serve.Version)
	return nil
}

func level(s string) slog.Level {
	switch s {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("rillflow"),
		kong.Description("A cluster scheduler: MaxWeight placement with learned rates."), kong.UsageOnError(),
		kong.Exit(func(code int) { os.Exit(min(code, 2)) })) // 2: the command line is wrong
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "rillflow:", err)
		if errors.Is(err, settings.ErrSettings) {
			os.Exit(2) // as for a wrong command line: to start it again is of no use
		}
		os.Exit(1)
	}
}
