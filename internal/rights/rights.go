// Package rights evaluates access rules. It is pure: from rules, an identity and a
// request it derives a decision with its reason. A request that no rule allows is
// denied, and deny rules take precedence over allow rules.
package rights

import (
	"encoding/xml"
	"errors"
	"fmt"
	"slices"
	"strings"

	"rillflow/internal/wire"
)

// Actions that rules refer to.
const (
	Submit   = "submit"
	Cancel   = "withdraw"
	Read     = "read" // read a job's status
	DependOn = "need" // name a job in waits_on
	Status   = "status"
)

// knownActions lists the actions, for the validation of rules.
var knownActions = []string{Submit, Cancel, Read, DependOn, Status}

// HigherPriority reports whether priority a is higher than b. An identity that may use a priority
// may use the lower ones as well.
func HigherPriority(a, b string) bool {
	return slices.Index(wire.Priorities(), a) < slices.Index(wire.Priorities(), b)
}

// Kinds of identities.
const (
	Person  = "person"
	Service = "service"
)

// Anonymous is the caller without a token.
const Anonymous = "anonymous"

// Identity is the person or service that makes a request.
type Identity struct {
	Name  string
	Kind  string
	Teams []string
	Roles []string
}

// Rule allows or denies actions, as written by operators.
type Rule struct {
	// Who is "anonymous", "anyone", "known" (any caller with a token), or
	// "person:NAME", "service:NAME", "team:NAME", "role:NAME".
	Who string `xml:"who,attr"`
	// Actions are the actions that the rule applies to, separated by spaces.
	Actions string `xml:"do,attr"`
	// Teams are the teams whose jobs the rule applies to, separated by spaces: "own"
	// stands for the caller's teams, "*" for all teams. Default: own.
	Teams string `xml:"owner,attr"`
	// MaxPriority is the highest priority that an allow rule grants; a deny rule applies
	// to this priority and those above it. Default: an allow rule grants all priorities,
	// a deny rule applies to all.
	MaxPriority       string     `xml:"rank,attr"`
	UnknownAttributes []xml.Attr `xml:",any,attr"`
}

// Rules are the access rules of an operator.
type Rules struct {
	Allow []Rule `xml:"allow"`
	Deny  []Rule `xml:"deny"`
}

// Request is the action that a caller asks for.
type Request struct {
	Action   string
	Team     string // team of the job; "" if the action concerns no job
	Priority string // of the submitted job
}

// Decision is the outcome for a request, with the rule that decided.
type Decision struct {
	Allowed     bool
	Rule        string // as the operator wrote it, or why no rule allows the request
	MaxPriority string // highest priority at which the identity may submit jobs of the team
}

// Check returns the first fault of the rules, or nil.
func (rules *Rules) Check() error {
	for name, list := range map[string][]Rule{"allow": rules.Allow, "deny": rules.Deny} {
		for i, rule := range list {
			if err := rule.check(); err != nil {
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
	kind, name, hasName := strings.Cut(rule.Who, ":")
	switch {
	case !hasName && slices.Contains([]string{Anonymous, "anyone", "known"}, kind):
	case hasName && name != "" && slices.Contains([]string{Person, Service, "team", "role"}, kind):
	default:
		return fmt.Errorf(
			"who: %q is none of anonymous, anyone, known, person:NAME, service:NAME, team:NAME or role:NAME",
			rule.Who,
		)
	}
	if rule.Actions == "" {
		return errors.New("do: missing")
	}
	for _, action := range strings.Fields(rule.Actions) {
		if !slices.Contains(knownActions, action) {
			return fmt.Errorf("do: %q is none of %s", action, strings.Join(knownActions, ", "))
		}
	}
	if rule.MaxPriority != "" && !slices.Contains(wire.Priorities(), rule.MaxPriority) {
		return fmt.Errorf("rank: %q is none of %s", rule.MaxPriority, strings.Join(wire.Priorities(), ", "))
	}
	return nil
}

// String returns the rule as written by the operator.
func (rule Rule) String() string {
	text := fmt.Sprintf("who=%q do=%q", rule.Who, rule.Actions)
	if rule.Teams != "" {
		text += fmt.Sprintf(" owner=%q", rule.Teams)
	}
	if rule.MaxPriority != "" {
		text += fmt.Sprintf(" rank=%q", rule.MaxPriority)
	}
	return text
}

func (rule *Rule) matchesIdentity(identity *Identity) bool {
	kind, name, _ := strings.Cut(rule.Who, ":")
	switch kind {
	case Anonymous:
		return identity.Name == ""
	case "anyone":
		return true
	case "known":
		return identity.Name != ""
	case Person, Service:
		return identity.Name == name && identity.Kind == kind
	case "team":
		return slices.Contains(identity.Teams, name)
	case "role":
		return slices.Contains(identity.Roles, name)
	}
	return false
}

// matchesRequest reports whether a rule applies to an action of an identity on a team's jobs.
func (rule *Rule) matchesRequest(identity *Identity, action, team string) bool {
	if !slices.Contains(strings.Fields(rule.Actions), action) || !rule.matchesIdentity(identity) {
		return false
	}
	if team == "" && action == Status {
		return true
	}
	teams := strings.Fields(rule.Teams)
	return slices.Contains(teams, "*") || team != "" && slices.Contains(teams, team) ||
		(len(teams) == 0 || slices.Contains(teams, "own")) && team != "" && slices.Contains(identity.Teams, team)
}

// Decide decides whether an identity's request is allowed.
func (rules *Rules) Decide(identity *Identity, request Request) Decision {
	isSubmission := request.Action == Submit
	var decision Decision
	for i := range rules.Deny {
		rule := &rules.Deny[i]
		coversPriority := !isSubmission || rule.MaxPriority == "" || !HigherPriority(rule.MaxPriority, request.Priority)
		if rule.matchesRequest(identity, request.Action, request.Team) && coversPriority {
			return Decision{Rule: "deny " + rule.String()}
		}
	}
	var insufficient *Rule // an allow rule that only lacks the priority
	for i := range rules.Allow {
		rule := &rules.Allow[i]
		if !rule.matchesRequest(identity, request.Action, request.Team) {
			continue
		}
		if isSubmission && rule.MaxPriority != "" && HigherPriority(request.Priority, rule.MaxPriority) {
			insufficient = rule
			continue
		}
		if !decision.Allowed {
			decision.Allowed, decision.Rule = true, "allow "+rule.String()
		}
	}
	switch {
	case decision.Allowed && isSubmission:
		decision.MaxPriority = rules.highestPriority(identity, request.Team)
	case decision.Allowed:
	case insufficient != nil:
		decision.Rule = fmt.Sprintf("rank %s is above what is allowed: allow %s", request.Priority, insufficient)
	default:
		decision.Rule = "no rule allows it"
	}
	return decision
}

// highestPriority returns the highest priority at which an identity may submit a team's jobs.
func (rules *Rules) highestPriority(identity *Identity, team string) string {
	priorities := wire.Priorities()
	for _, priority := range priorities {
		isDenied := slices.ContainsFunc(rules.Deny, func(rule Rule) bool {
			return rule.matchesRequest(identity, Submit, team) &&
				(rule.MaxPriority == "" || !HigherPriority(rule.MaxPriority, priority))
		})
		if !isDenied && slices.ContainsFunc(rules.Allow, func(rule Rule) bool {
			return rule.matchesRequest(identity, Submit, team) &&
				(rule.MaxPriority == "" || !HigherPriority(priority, rule.MaxPriority))
		}) {
			return priority
		}
	}
	return priorities[len(priorities)-1]
}
