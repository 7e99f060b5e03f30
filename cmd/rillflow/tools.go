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

// toolShare is the part of the state service's budget that a tool takes beside the
// controllers, whose shares together leave a fifth.
const toolShare = 0.1

// desk is what the tools work with that go to the state service themselves.
type desk struct {
	set  *settings.Settings
	st   *kvstore.Client
	ring *keyring.Ring
}

func (f *files) desk() (*desk, error) {
	set, err := settings.Load(f.Config, f.Operator)
	if err != nil {
		return nil, err
	}
	if set.Operator.Access.Keys == "" {
		return nil, errors.New("the operators' settings name no key ring: <access><keys>")
	}
	ring, err := keyring.Load(set.Operator.Access.Keys)
	if err != nil {
		return nil, err
	}
	least := set.Facts.Store.Lowest()
	d := net.Dialer{Timeout: set.HeartbeatInterval()}
	st := kvstore.New(kvstore.Options{
		Addr: set.Services.Store, RequestsPerSecond: least.RPS * toolShare,
		Timeout: 2 * set.HeartbeatInterval(), Dial: d.DialContext,
		Limits: kvstore.Limits{WritesPerSecond: least.WriteRPS * toolShare, MaxValueBytes: int(least.ValueKB * 1024)},
	})
	return &desk{set, st, ring}, nil
}

func (d *desk) admin() *identity.Admin {
	by := "ring"
	if u, err := user.Current(); err == nil {
		by += ":" + u.Username
	}
	if h, err := os.Hostname(); err == nil {
		by += "@" + h
	}
	return &identity.Admin{
		Store: d.st, Ring: d.ring, Actor: by, Audited: d.set.Operator.Access.AuditEnabled(), Now: time.Now,
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
	from := time.Now().Add(c.After)
	id, err := keyring.Rotate(c.File, from)
	if err == nil {
		fmt.Printf(
			"key %d is in use from %s on: copy the file to every controller before\n", id,
			from.UTC().Format(time.RFC3339),
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
	files
	Name string        `arg:"" help:"Whom it is for."`
	Kind string        `enum:"person,service," default:"" help:"person or service; left out, an identity that exists stays as it is."`
	Team []string      `help:"Teams whose jobs are its own."`
	Role []string      `help:"Roles, as the rules name them."`
	For  time.Duration `default:"720h" help:"How long it holds."`
}

func (c *tokenIssueCmd) Run() error {
	d, err := c.desk()
	if err != nil {
		return err
	}
	rec := identity.Record{Kind: c.Kind, Teams: c.Team, Roles: c.Role}
	if rec.Kind == "" && len(rec.Teams)+len(rec.Roles) > 0 {
		rec.Kind = rights.Person
	}
	token, err := d.admin().Issue(context.Background(), c.Name, rec, c.For)
	if err == nil {
		fmt.Println(token)
	}
	return err
}

type tokenRotateCmd struct {
	files
	Name  string        `arg:"" help:"Whose."`
	For   time.Duration `default:"720h" help:"How long the new token holds."`
	Grace time.Duration `default:"0s" help:"How long the others go on holding."`
}

func (c *tokenRotateCmd) Run() error {
	d, err := c.desk()
	if err != nil {
		return err
	}
	token, err := d.admin().Rotate(context.Background(), c.Name, c.For, c.Grace)
	if token != "" {
		fmt.Println(token)
	}
	return err
}

type tokenWithdrawCmd struct {
	files
	Name string `arg:"" help:"An identity's name, or a token or its beginning: rft_ and eight letters."`
}

func (c *tokenWithdrawCmd) Run() error {
	d, err := c.desk()
	if err != nil {
		return err
	}
	return d.admin().Revoke(context.Background(), c.Name)
}

type tokenListCmd struct{ files }

func (c *tokenListCmd) Run() error {
	d, err := c.desk()
	if err != nil {
		return err
	}
	known, err := d.admin().List(context.Background())
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tKIND\tTEAMS\tROLES\tTOKEN\tUNTIL")
	for _, k := range known {
		kind := k.Kind
		if k.Revoked {
			kind = "withdrawn"
		}
		if len(k.Tokens) == 0 {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t-\n", k.Name, kind, strings.Join(k.Teams, ","), strings.Join(k.Roles, ","))
		}
		for id, t := range k.Tokens {
			till := time.Unix(t.ExpiresUnix, 0).UTC().Format(time.DateTime)
			if t.Revoked {
				till = "withdrawn"
			} else if time.Now().Unix() >= t.ExpiresUnix {
				till = "expired"
			}
			fmt.Fprintf(
				w, "%s\t%s\t%s\t%s\trft_%s\t%s\n", k.Name, kind, strings.Join(k.Teams, ","),
				strings.Join(k.Roles, ","), id, till,
			)
		}
	}
	return w.Flush()
}

type rightsCmd struct {
	Explain rightsExplainCmd `cmd:"" help:"Tell whether somebody may do something, and by which rule."`
}

type rightsExplainCmd struct {
	files
	Who   string   `arg:"" help:"A name, or anonymous."`
	Do    string   `arg:"" enum:"submit,withdraw,read,need,status" help:"submit, withdraw, read, need or status."`
	Owner string   `arg:"" optional:"" help:"The team whose job it is."`
	Rank  string   `default:"standard" help:"The rank, for submit."`
	Kind  string   `enum:"person,service," default:"" help:"Take the identity to be of this kind, with these teams and roles, rather than ask the state service."`
	Team  []string `help:"See kind."`
	Role  []string `help:"See kind."`
}

func (c *rightsExplainCmd) Run() error {
	set, err := settings.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	a := &set.Operator.Access
	if !a.IdentitiesEnabled() {
		fmt.Println("allowed: identities are off, everything is")
		return nil
	}
	who := rights.Identity{Name: c.Who, Kind: c.Kind, Teams: c.Team, Roles: c.Role}
	switch {
	case c.Who == rights.Anonymous:
		who = rights.Identity{}
	case c.Kind == "":
		if who, err = c.ask(); err != nil {
			return err
		}
	}
	dec := a.Rules.Decide(&who, rights.Request{Action: c.Do, Team: c.Owner, Priority: c.Rank})
	if !dec.Allowed {
		fmt.Printf("denied: %s\n", dec.Rule)
		return nil
	}
	fmt.Printf("allowed: %s\n", dec.Rule)
	if dec.MaxPriority != "" {
		fmt.Printf("by what needs it, the job goes no higher than %s\n", dec.MaxPriority)
	}
	return nil
}

func (c *rightsExplainCmd) ask() (who rights.Identity, err error) {
	d, err := c.desk()
	if err != nil {
		return who, err
	}
	known, err := d.admin().List(context.Background())
	if err != nil {
		return who, err
	}
	for _, k := range known {
		if k.Name == c.Who && !k.Revoked {
			return rights.Identity{Name: k.Name, Kind: k.Kind, Teams: k.Teams, Roles: k.Roles}, nil
		}
	}
	return who, fmt.Errorf("nobody is called %s", c.Who)
}
