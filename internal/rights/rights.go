// Package rights decides who may do what. It is pure: rules, an identity and a
// request go in, a decision with its reason comes out. What no rule allows is
// denied, and a rule that denies counts for more than any that allows.
package rights

import (
	"encoding/xml"
	"errors"
	"fmt"
	"slices"
	"strings"

	"rillflow/internal/wire"
)

// Deeds that rights are given for.
const (
	Submit   = "submit"
	Withdraw = "withdraw"
	Read     = "read" // a job's state
	Need     = "need" // name a job in waits_on
	Status   = "status"
)

// deeds lists them, for the check of rules.
var deeds = []string{Submit, Withdraw, Read, Need, Status}

// Above tells whether a rank is higher than another. An identity that may have one may
// have those below it.
func Above(a, b string) bool {
	return slices.Index(wire.Priorities(), a) < slices.Index(wire.Priorities(), b)
}

// Kinds of identities.
const (
	Person  = "person"
	Service = "service"
)

// Anonymous is who comes without a token.
const Anonymous = "anonymous"

// Identity is who asks.
type Identity struct {
	Name  string
	Kind  string
	Teams []string
	Roles []string
}

// Rule gives or takes rights, as operators write it.
type Rule struct {
	// Who is "anonymous", "anyone", "known" (whoever has a token), or
	// "person:NAME", "service:NAME", "team:NAME", "role:NAME".
	Who string `xml:"who,attr"`
	// Do are the deeds, separated by spaces.
	Do string `xml:"do,attr"`
	// Owner are the teams whose jobs it is about, separated by spaces: "own" are
	// those of whoever asks, "*" are all. Default: own.
	Owner string `xml:"owner,attr"`
	// Rank is the highest that may be asked for; a rule that denies is about this
	// one and those above it. Default: the highest.
	Rank string     `xml:"rank,attr"`
	Rest []xml.Attr `xml:",any,attr"`
}

// Rules are an operator's rules.
type Rules struct {
	Allow []Rule `xml:"allow"`
	Deny  []Rule `xml:"deny"`
}

// Request is what somebody wants to do.
type Request struct {
	Do    string
	Owner string // team of the job; "" if it is about no job
	Rank  string // of the job that is submitted
}

// Decision is the answer with what decided.
type Decision struct {
	Allowed bool
	Rule    string // as the operator wrote it, or why there is none
	Cap     string // the highest rank that this identity may have for the owner's jobs
}

// Check tells what is wrong with rules.
func (rs *Rules) Check() error {
	for name, list := range map[string][]Rule{"allow": rs.Allow, "deny": rs.Deny} {
		for i, r := range list {
			if err := r.check(); err != nil {
				return fmt.Errorf("<%s> number %d: %w", name, i+1, err)
			}
		}
	}
	return nil
}

func (r *Rule) check() error {
	if len(r.Rest) > 0 {
		return fmt.Errorf("unknown attribute %q", r.Rest[0].Name.Local)
	}
	kind, name, named := strings.Cut(r.Who, ":")
	switch {
	case !named && slices.Contains([]string{Anonymous, "anyone", "known"}, kind):
	case named && name != "" && slices.Contains([]string{Person, Service, "team", "role"}, kind):
	default:
		return fmt.Errorf("who: %q is none of anonymous, anyone, known, person:NAME, service:NAME, team:NAME or role:NAME", r.Who)
	}
	if r.Do == "" {
		return errors.New("do: missing")
	}
	for _, d := range strings.Fields(r.Do) {
		if !slices.Contains(deeds, d) {
			return fmt.Errorf("do: %q is none of %s", d, strings.Join(deeds, ", "))
		}
	}
	if r.Rank != "" && !slices.Contains(wire.Priorities(), r.Rank) {
		return fmt.Errorf("rank: %q is none of %s", r.Rank, strings.Join(wire.Priorities(), ", "))
	}
	return nil
}

// String gives a rule as it was written.
func (r Rule) String() string {
	s := fmt.Sprintf("who=%q do=%q", r.Who, r.Do)
	if r.Owner != "" {
		s += fmt.Sprintf(" owner=%q", r.Owner)
	}
	if r.Rank != "" {
		s += fmt.Sprintf(" rank=%q", r.Rank)
	}
	return s
}

func (r *Rule) is(who *Identity) bool {
	kind, name, _ := strings.Cut(r.Who, ":")
	switch kind {
	case Anonymous:
		return who.Name == ""
	case "anyone":
		return true
	case "known":
		return who.Name != ""
	case Person, Service:
		return who.Name == name && who.Kind == kind
	case "team":
		return slices.Contains(who.Teams, name)
	case "role":
		return slices.Contains(who.Roles, name)
	}
	return false
}

// about tells whether a rule is about a deed on an owner's jobs.
func (r *Rule) about(who *Identity, do, owner string) bool {
	if !slices.Contains(strings.Fields(r.Do), do) || !r.is(who) {
		return false
	}
	if owner == "" && do == Status {
		return true
	}
	owners := strings.Fields(r.Owner)
	return slices.Contains(owners, "*") || owner != "" && slices.Contains(owners, owner) ||
		(len(owners) == 0 || slices.Contains(owners, "own")) && owner != "" && slices.Contains(who.Teams, owner)
}

// Decide tells whether somebody may do something.
func (rs *Rules) Decide(who *Identity, q Request) Decision {
	ranked := q.Do == Submit
	var d Decision
	for i := range rs.Deny {
		r := &rs.Deny[i]
		if r.about(who, q.Do, q.Owner) && (!ranked || r.Rank == "" || !Above(r.Rank, q.Rank)) {
			return Decision{Rule: "deny " + r.String()}
		}
	}
	var short *Rule
	for i := range rs.Allow {
		r := &rs.Allow[i]
		if !r.about(who, q.Do, q.Owner) {
			continue
		}
		if ranked && r.Rank != "" && Above(q.Rank, r.Rank) {
			short = r
			continue
		}
		if !d.Allowed {
			d.Allowed, d.Rule = true, "allow "+r.String()
		}
	}
	switch {
	case d.Allowed && ranked:
		d.Cap = rs.top(who, q.Owner)
	case d.Allowed:
	case short != nil:
		d.Rule = fmt.Sprintf("rank %s is above what is allowed: allow %s", q.Rank, short)
	default:
		d.Rule = "no rule allows it"
	}
	return d
}

// top is the highest rank that somebody may submit jobs of an owner at.
func (rs *Rules) top(who *Identity, owner string) string {
	ranks := wire.Priorities()
	for _, rank := range ranks {
		denied := slices.ContainsFunc(rs.Deny, func(r Rule) bool {
			return r.about(who, Submit, owner) && (r.Rank == "" || !Above(r.Rank, rank))
		})
		if !denied && slices.ContainsFunc(rs.Allow, func(r Rule) bool {
			return r.about(who, Submit, owner) && (r.Rank == "" || !Above(rank, r.Rank))
		}) {
			return rank
		}
	}
	return ranks[len(ranks)-1]
}
