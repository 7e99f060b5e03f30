package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"rillflow/internal/certs"
	"rillflow/internal/identity"
	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/rights"
	"rillflow/internal/settings"
)

// toolShare is the share of the store's request and write rates that a command uses beside the
// controllers. Their budgets (package serve) leave a tenth of the request rate free, and that of a
// single controller a fifth of the write rate.
const toolShare = 0.1

// session holds the configuration, the store client and the key ring of a command that accesses the
// store itself.
type session struct {
	settings *settings.Settings
	store    *kvstore.Client
	ring     *keyring.Ring
}

// openSession loads the settings and the key ring and creates a client of the store, limited to
// toolShare.
func (files *settingsFiles) openSession() (*session, error) {
	config, err := settings.Load(files.Config, files.Operator)
	if err != nil {
		return nil, err
	}
	if config.Operator.Access.Keys == "" {
		return nil, errors.New("the operators' settings name no key ring: <access><keys>")
	}
	ring, err := keyring.Load(config.Operator.Access.Keys)
	if err != nil {
		return nil, err
	}
	limits := config.Facts.Store.Lowest()
	dialer := net.Dialer{Timeout: config.HeartbeatInterval()}
	store := kvstore.New(kvstore.Options{
		Addr: config.Services.Store, RequestsPerSecond: limits.RPS * toolShare,
		Timeout: 2 * config.HeartbeatInterval(), Dial: dialer.DialContext,
		Limits: kvstore.Limits{WritesPerSecond: limits.WriteRPS * toolShare, MaxValueBytes: int(limits.ValueKB * 1024)},
	})
	return &session{config, store, ring}, nil
}

// admin returns an administrator of identities. The audit log names the operating system's user
// and host as the actor.
func (session *session) admin() *identity.Admin {
	actor := "ring"
	if current, err := user.Current(); err == nil {
		actor += ":" + current.Username
	}
	if hostname, err := os.Hostname(); err == nil {
		actor += "@" + hostname
	}
	return &identity.Admin{
		Store: session.store, Ring: session.ring, Actor: actor,
		Audited: session.settings.Operator.Access.AuditEnabled(), Now: time.Now,
	}
}

type keysCmd struct {
	Init   keysInitCmd   `cmd:"" help:"Make a key ring of one new key."`
	Rotate keysRotateCmd `cmd:"" help:"Add a key to a ring; it is the one in use from then on."`

	Authority   keysAuthorityCmd   `cmd:"" help:"Make an authority of your own for certificates."`
	Certificate keysCertificateCmd `cmd:"" help:"Make, or make anew, a controller's certificate."`
}

type keysAuthorityCmd struct {
	Folder string        `arg:"" help:"Where ca.pem and ca.key are made."`
	Name   string        `default:"rillflow" help:"Its name."`
	For    time.Duration `default:"87600h" help:"How long it holds."`
}

func (c *keysAuthorityCmd) Run() error { return certs.MakeAuthority(c.Folder, c.Name, c.For) }

type keysCertificateCmd struct {
	Folder string        `arg:"" help:"The authority's."`
	Node   string        `arg:"" help:"The controller's node_name."`
	Host   []string      `help:"Names and addresses by which users call it."`
	For    time.Duration `default:"8760h" help:"How long it holds."`
}

func (c *keysCertificateCmd) Run() error {
	return certs.MakeCertificate(c.Folder, c.Node, c.Host, c.For)
}

type keysInitCmd struct {
	File string `arg:"" help:"The ring's file. One that is there is left alone."`
	Keep bool   `help:"Succeed if the ring is there already."`
}

func (c *keysInitCmd) Run() error {
	err := keyring.Init(c.File)
	if c.Keep && errors.Is(err, os.ErrExist) {
		_, err = keyring.Load(c.File)
		return err
	}
	return err
}

type keysRotateCmd struct {
	File  string        `arg:"" help:"The ring's file."`
	After time.Duration `default:"1h" help:"When the key is in use: by then every controller must have the file."`
}

func (c *keysRotateCmd) Run() error {
	activeFrom := time.Now().Add(c.After)
	id, err := keyring.Rotate(c.File, activeFrom)
	if err == nil {
		fmt.Printf(
			"key %d is in use from %s on: copy the file to every controller before\n", id,
			activeFrom.UTC().Format(time.RFC3339),
		)
	}
	return err
}

type tokenCmd struct {
	Issue    tokenIssueCmd    `cmd:"" help:"Make or change an identity, and give it a token. The token is shown once."`
	Rotate   tokenRotateCmd   `cmd:"" help:"Give an identity a new token in place of its others."`
	Withdraw tokenWithdrawCmd `cmd:"" help:"Withdraw a token, or an identity with all its tokens."`
	List     tokenListCmd     `cmd:"" help:"List identities and their tokens."`
}

type tokenIssueCmd struct {
	settingsFiles
	Name string        `arg:"" help:"Whom it is for."`
	Kind string        `enum:"person,service," default:"" help:"person or service; left out, an identity that exists stays as it is."`
	Team []string      `help:"Teams whose jobs are its own."`
	Role []string      `help:"Roles, as the rules name them."`
	For  time.Duration `default:"720h" help:"How long it holds."`
}

func (c *tokenIssueCmd) Run() error {
	session, err := c.openSession()
	if err != nil {
		return err
	}
	record := identity.Record{Kind: c.Kind, Teams: c.Team, Roles: c.Role}
	if record.Kind == "" && len(record.Teams)+len(record.Roles) > 0 {
		record.Kind = rights.Person
	}
	token, err := session.admin().Issue(context.Background(), c.Name, record, c.For)
	if err == nil {
		fmt.Println(token)
	}
	return err
}

type tokenRotateCmd struct {
	settingsFiles
	Name  string        `arg:"" help:"Whose."`
	For   time.Duration `default:"720h" help:"How long the new token holds."`
	Grace time.Duration `default:"0s" help:"How long the others go on holding."`
}

func (c *tokenRotateCmd) Run() error {
	session, err := c.openSession()
	if err != nil {
		return err
	}
	token, err := session.admin().Rotate(context.Background(), c.Name, c.For, c.Grace)
	if token != "" {
		fmt.Println(token)
	}
	return err
}

type tokenWithdrawCmd struct {
	settingsFiles
	Name string `arg:"" help:"An identity's name, or a token or its beginning: rft_ and eight letters."`
}

func (c *tokenWithdrawCmd) Run() error {
	session, err := c.openSession()
	if err != nil {
		return err
	}
	return session.admin().Revoke(context.Background(), c.Name)
}

type tokenListCmd struct{ settingsFiles }

func (c *tokenListCmd) Run() error {
	session, err := c.openSession()
	if err != nil {
		return err
	}
	identities, err := session.admin().List(context.Background())
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tKIND\tTEAMS\tROLES\tTOKEN\tUNTIL")
	for _, listed := range identities {
		kind := listed.Kind
		if listed.Revoked {
			kind = "withdrawn"
		}
		if len(listed.Tokens) == 0 {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t-\t-\n",
				listed.Name, kind, strings.Join(listed.Teams, ","), strings.Join(listed.Roles, ","))
		}
		for id, token := range listed.Tokens {
			expiry := time.Unix(token.ExpiresUnix, 0).UTC().Format(time.DateTime)
			if token.Revoked {
				expiry = "withdrawn"
			} else if time.Now().Unix() >= token.ExpiresUnix {
				expiry = "expired"
			}
			fmt.Fprintf(
				table, "%s\t%s\t%s\t%s\trft_%s\t%s\n", listed.Name, kind, strings.Join(listed.Teams, ","),
				strings.Join(listed.Roles, ","), id, expiry,
			)
		}
	}
	return table.Flush()
}

type rightsCmd struct {
	Explain rightsExplainCmd `cmd:"" help:"Tell whether somebody may do something, and by which rule."`
}

type rightsExplainCmd struct {
	settingsFiles
	Who   string   `arg:"" help:"A name, or anonymous."`
	Do    string   `arg:"" enum:"submit,withdraw,read,need,status" help:"submit, withdraw, read, need or status."`
	Owner string   `arg:"" optional:"" help:"The team whose job it is."`
	Rank  string   `default:"standard" help:"The rank, for submit."`
	Kind  string   `enum:"person,service," default:"" help:"Take the identity to be of this kind, with these teams and roles, rather than ask the state service."`
	Team  []string `help:"See kind."`
	Role  []string `help:"See kind."`
}

func (c *rightsExplainCmd) Run() error {
	config, err := settings.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	access := &config.Operator.Access
	if !access.IdentitiesEnabled() {
		fmt.Println("allowed: identities are off, everything is")
		return nil
	}
	caller := rights.Identity{Name: c.Who, Kind: c.Kind, Teams: c.Team, Roles: c.Role}
	switch {
	case c.Who == rights.Anonymous:
		caller = rights.Identity{}
	case c.Kind == "":
		if caller, err = c.fetchIdentity(); err != nil {
			return err
		}
	}
	decision := access.Rules.Decide(&caller, rights.Request{Action: c.Do, Team: c.Owner, Priority: c.Rank})
	if !decision.Allowed {
		fmt.Printf("denied: %s\n", decision.Rule)
		return nil
	}
	fmt.Printf("allowed: %s\n", decision.Rule)
	if decision.MaxPriority != "" {
		fmt.Printf("by what needs it, the job goes no higher than %s\n", decision.MaxPriority)
	}
	return nil
}

// fetchIdentity reads the identity from the store.
func (c *rightsExplainCmd) fetchIdentity() (found rights.Identity, err error) {
	session, err := c.openSession()
	if err != nil {
		return found, err
	}
	identities, err := session.admin().List(context.Background())
	if err != nil {
		return found, err
	}
	for _, listed := range identities {
		if listed.Name == c.Who && !listed.Revoked {
			return rights.Identity{Name: listed.Name, Kind: listed.Kind, Teams: listed.Teams, Roles: listed.Roles}, nil
		}
	}
	return found, fmt.Errorf("no identity is named %s", c.Who)
}
