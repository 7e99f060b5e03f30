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
	Cancel   = "withdraw"
	Read     = "read" // a job's state
	DependOn = "need" // name a job in waits_on
	Status   = "status"
)

// actions lists them, for the check of rules.
var actions = []string{Submit, Cancel, Read, DependOn, Status}

// HigherPriority tells whether a rank is higher than another. An identity that may have one may
// have those below it.
func HigherPriority(a, b string) bool {
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
	// Actions are the deeds, separated by spaces.
	Actions string `xml:"do,attr"`
	// Teams are the teams whose jobs it is about, separated by spaces: "own" are
	// those of whoever asks, "*" are all. Default: own.
	Teams string `xml:"owner,attr"`
	// MaxPriority is the highest that may be asked for; a rule that denies is about this
	// one and those above it. Default: the highest.
	MaxPriority       string     `xml:"rank,attr"`
	UnknownAttributes []xml.Attr `xml:",any,attr"`
}

// Rules are an operator's rules.
type Rules struct {
	Allow []Rule `xml:"allow"`
	Deny  []Rule `xml:"deny"`
}

// Request is what somebody wants to do.
type Request struct {
	Action   string
	Team     string // team of the job; "" if it is about no job
	Priority string // of the job that is submitted
}

// Decision is the answer with what decided.
type Decision struct {
	Allowed     bool
	Rule        string // as the operator wrote it, or why there is none
	MaxPriority string // the highest rank that this identity may have for the owner's jobs
}

// Check tells what is wrong with rules.
func (rules *Rules) Check() error {
	for name, list := range map[string][]Rule{"allow": rules.Allow, "deny": rules.Deny} {
		for i, r := range list {
			if err := r.check(); err != nil {
				return fmt.Errorf("<%s> number %d: %w", name, i+1, err)
			}
		}
	}
	return nil
}

func (rule *Rule) check() error {
	if len(rule.UnknownAttributes) > 0 {
		return fmt.Errorf("unknown attribute %q", rule.UnknownAttributes[0].Name.Local)
	}
	kind, name, named := strings.Cut(rule.Who, ":")
	switch {
	case !named && slices.Contains([]string{Anonymous, "anyone", "known"}, kind):
	case named && name != "" && slices.Contains([]string{Person, Service, "team", "role"}, kind):
	default:
		return fmt.Errorf(
			"who: %q is none of anonymous, anyone, known, person:NAME, service:NAME, team:NAME or role:NAME",
			rule.Who,
		)
	}
	if rule.Actions == "" {
		return errors.New("do: missing")
	}
	for _, d := range strings.Fields(rule.Actions) {
		if !slices.Contains(actions, d) {
			return fmt.Errorf("do: %q is none of %s", d, strings.Join(actions, ", "))
		}
	}
	if rule.MaxPriority != "" && !slices.Contains(wire.Priorities(), rule.MaxPriority) {
		return fmt.Errorf("rank: %q is none of %s", rule.MaxPriority, strings.Join(wire.Priorities(), ", "))
	}
	return nil
}

// String gives a rule as it was written.
func (rule Rule) String() string {
	s := fmt.Sprintf("who=%q do=%q", rule.Who, rule.Actions)
	if rule.Teams != "" {
		s += fmt.Sprintf(" owner=%q", rule.Teams)
	}
	if rule.MaxPriority != "" {
		s += fmt.Sprintf(" rank=%q", rule.MaxPriority)
	}
	return s
}

func (rule *Rule) matchesIdentity(who *Identity) bool {
	kind, name, _ := strings.Cut(rule.Who, ":")
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

// matchesRequest tells whether a rule is about a deed on an owner's jobs.
func (rule *Rule) matchesRequest(who *Identity, do, owner string) bool {
	if !slices.Contains(strings.Fields(rule.Actions), do) || !rule.matchesIdentity(who) {
		return false
	}
	if owner == "" && do == Status {
		return true
	}
	owners := strings.Fields(rule.Teams)
	return slices.Contains(owners, "*") || owner != "" && slices.Contains(owners, owner) ||
		(len(owners) == 0 || slices.Contains(owners, "own")) && owner != "" && slices.Contains(who.Teams, owner)
}

// Decide tells whether somebody may do something.
func (rules *Rules) Decide(who *Identity, q Request) Decision {
	ranked := q.Action == Submit
	var d Decision
	for i := range rules.Deny {
		r := &rules.Deny[i]
		inReach := !ranked || r.MaxPriority == "" || !HigherPriority(r.MaxPriority, q.Priority)
		if r.matchesRequest(who, q.Action, q.Team) && inReach {
			return Decision{Rule: "deny " + r.String()}
		}
	}
	var short *Rule
	for i := range rules.Allow {
		r := &rules.Allow[i]
		if !r.matchesRequest(who, q.Action, q.Team) {
			continue
		}
		if ranked && r.MaxPriority != "" && HigherPriority(q.Priority, r.MaxPriority) {
			short = r
			continue
		}
		if !d.Allowed {
			d.Allowed, d.Rule = true, "allow "+r.String()
		}
	}
	switch {
	case d.Allowed && ranked:
		d.MaxPriority = rules.highestPriority(who, q.Team)
	case d.Allowed:
	case short != nil:
		d.Rule = fmt.Sprintf("rank %s is above what is allowed: allow %s", q.Priority, short)
	default:
		d.Rule = "no rule allows it"
	}
	return d
}

// highestPriority is the highest rank that somebody may submit jobs of an owner at.
func (rules *Rules) highestPriority(who *Identity, owner string) string {
	ranks := wire.Priorities()
	for _, rank := range ranks {
		denied := slices.ContainsFunc(rules.Deny, func(r Rule) bool {
			return r.matchesRequest(who, Submit, owner) && (r.MaxPriority == "" || !HigherPriority(r.MaxPriority, rank))
		})
		if !denied && slices.ContainsFunc(rules.Allow, func(r Rule) bool {
			return r.matchesRequest(who, Submit, owner) && (r.MaxPriority == "" || !HigherPriority(rank, r.MaxPriority))
		}) {
			return rank
		}
	}
	return ranks[len(ranks)-1]
}
