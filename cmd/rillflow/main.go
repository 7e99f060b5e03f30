// Command rillflow is a cluster scheduler. `rillflow serve` runs one controller; the other
// commands check settings, show a running controller's state, and manage the audit log,
// identities, keys and snapshots.
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

// settingsFiles are the flags of the commands that load settings.
type settingsFiles struct {
	Config   string `required:"" help:"The platform's settings file (TOML)." placeholder:"FILE"`
	Operator string `help:"The operators' settings file (XML). Default: rillflow.xml beside the platform's file, if there." placeholder:"FILE"`
}

type serveCmd struct{ settingsFiles }

func (c *serveCmd) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))}))
	config, err := settings.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Near this limit the garbage collector runs more often, well before the platform kills the
	// process for its memory use.
	debug.SetMemoryLimit(int64(config.Operator.Limits.Memory * config.Facts.Resources.MemoryMB * (1 << 20)))
	err = serve.Run(ctx, config, serve.TCP(config.HeartbeatInterval()), log.With("node", config.Name))
	if err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

type checkCmd struct{ settingsFiles }

func (c *checkCmd) Run() error {
	config, err := settings.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	fmt.Printf(
		"ok: %s of %d controllers, %d teams, frugal: %v\n", config.Name, 1+len(config.Peers),
		len(config.Facts.Teams), config.NeverScalesAhead(),
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
			return fmt.Errorf("%s contains no PEM certificate", c.CA)
		}
		scheme, client.Transport = "https", &http.Transport{
			TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
		}
	}
	request, err := http.NewRequest(http.MethodGet, scheme+"://"+c.Addr+"/operator/status", nil)
	if err != nil {
		return err
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 16<<20))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("controller answered with status %s", response.Status)
	}
	var status any
	if err := json.Unmarshal(body, &status); err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(status)
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("rillflow", serve.Version)
	return nil
}

func logLevel(name string) slog.Level {
	switch name {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

func main() {
	var commands cli
	parsed := kong.Parse(&commands, kong.Name("rillflow"),
		kong.Description("A cluster scheduler: MaxWeight placement with learned rates."), kong.UsageOnError(),
		kong.Exit(func(code int) { os.Exit(min(code, 2)) })) // 2: invalid command line
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "rillflow:", err)
		if errors.Is(err, settings.ErrSettings) {
			os.Exit(2) // as for an invalid command line: a restart would fail again
		}
		os.Exit(1)
	}
}
