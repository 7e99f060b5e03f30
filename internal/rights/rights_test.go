package rights

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"rillflow/internal/wire"
)

var (
	curator = Identity{Name: "ana", Kind: Person, Teams: []string{"museum"}, Roles: []string{"curator"}}
	guest   = Identity{Name: "gus", Kind: Person, Teams: []string{"visitors"}, Roles: []string{"guest"}}
	rules   = Rules{
		Allow: []Rule{
			{Who: "role:curator", Actions: "submit withdraw need", MaxPriority: "production"},
			{Who: "role:guest", Actions: "submit withdraw need", Teams: "own", MaxPriority: "standard"},
			{Who: "known", Actions: "read", Teams: "*"},
			{Who: "anonymous", Actions: "read", Teams: "museum"},
			{Who: "service:relay", Actions: "submit", Teams: "museum archive", MaxPriority: "urgent"},
		},
		Deny: []Rule{{Who: "role:guest", Actions: "submit", Teams: "*", MaxPriority: "standard"}},
	}
)

func TestDecide(t *testing.T) {
	for _, tc := range []struct {
		name        string
		who         Identity
		request     Request
		allowed     bool
		maxPriority string
		rule        string // part of the decision's rule
	}{
		{"own team, highest allowed priority", curator, Request{Submit, "museum", "production"}, true, "production", "role:curator"},
		{"other team", curator, Request{Submit, "archive", "idle"}, false, "", "no rule"},
		{"guest below the denied priorities", guest, Request{Submit, "visitors", "idle"}, true, "idle", "role:guest"},
		{"guest at a priority that is both denied and allowed", guest, Request{Submit, "visitors", "standard"}, false, "", "deny"},
		{"guest above the denied priority", guest, Request{Submit, "visitors", "urgent"}, false, "", "deny"},
		{"service for one of its teams", Identity{Name: "relay", Kind: Service}, Request{Submit, "archive", "standard"}, true, "urgent", "service:relay"},
		{"service above its priority", Identity{Name: "relay", Kind: Service}, Request{Submit, "archive", "production"}, false, "", "above what is allowed"},
		{"person with the name of a service", Identity{Name: "relay", Kind: Person}, Request{Submit, "archive", "standard"}, false, "", "no rule"},
		{"cancel a job of another team", guest, Request{Action: Cancel, Team: "museum"}, false, "", "no rule"},
		{"depend on a job of another team", guest, Request{Action: DependOn, Team: "museum"}, false, "", "no rule"},
		{"anonymous read", Identity{}, Request{Action: Read, Team: "museum"}, true, "", "anonymous"},
		{"anonymous read of a job without a team", Identity{}, Request{Action: Read}, false, "", "no rule"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			decision := rules.Decide(&tc.who, tc.request)
			if decision.Allowed != tc.allowed || decision.MaxPriority != tc.maxPriority || !strings.Contains(decision.Rule, tc.rule) {
				t.Errorf("got %+v, want allowed %v, maximum priority %q, rule with %q", decision, tc.allowed, tc.maxPriority, tc.rule)
			}
		})
	}
}

func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		rule Rule
		want string
	}{
		{Rule{Who: "role:x", Actions: "read"}, ""},
		{Rule{Who: "everybody", Actions: "read"}, "who"},
		{Rule{Who: "role:", Actions: "read"}, "who"},
		{Rule{Who: "known", Actions: "raed"}, "do"},
		{Rule{Who: "known"}, "do"},
		{Rule{Who: "known", Actions: "submit", MaxPriority: "top"}, "rank"},
	} {
		err := (&Rules{Allow: []Rule{tc.rule}}).Check()
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v, want text %q", tc.rule, err, tc.want)
		}
	}
}

// Guards properties of decisions under any rules: nothing is allowed without an allow rule, deny
// rules never allow anything, no allowed priority is above the reported maximum, and all
// priorities below an allowed one are allowed unless a rule denies them.
func TestDecideProperties(t *testing.T) {
	rule := rapid.Custom(func(t *rapid.T) Rule {
		return Rule{
			Who:         rapid.SampledFrom([]string{"anonymous", "anyone", "known", "person:ana", "service:ana", "team:museum", "role:guest"}).Draw(t, "who"),
			Actions:     rapid.SampledFrom([]string{"submit", "submit withdraw", "read need"}).Draw(t, "do"),
			Teams:       rapid.SampledFrom([]string{"", "own", "*", "museum", "archive museum"}).Draw(t, "owner"),
			MaxPriority: rapid.SampledFrom([]string{"", "production", "urgent", "standard", "idle"}).Draw(t, "rank"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		policy := Rules{Allow: rapid.SliceOfN(rule, 0, 4).Draw(t, "allow"), Deny: rapid.SliceOfN(rule, 0, 3).Draw(t, "deny")}
		who := rapid.SampledFrom([]Identity{{}, curator, guest, {Name: "ana", Kind: Service}}).Draw(t, "who")
		request := Request{
			Action:   rapid.SampledFrom([]string{Submit, Cancel, Read, DependOn}).Draw(t, "do"),
			Team:     rapid.SampledFrom([]string{"museum", "archive", "visitors"}).Draw(t, "owner"),
			Priority: rapid.SampledFrom(wire.Priorities()).Draw(t, "rank"),
		}
		decision := policy.Decide(&who, request)
		if decision.Allowed && len(policy.Allow) == 0 {
			t.Fatalf("allowed without an allow rule: %+v", decision)
		}
		if allowOnly := (&Rules{Allow: policy.Allow}).Decide(&who, request); decision.Allowed && !allowOnly.Allowed {
			t.Fatal("allowed with the deny rules, but not without them")
		}
		if decision.Allowed && request.Action == Submit && HigherPriority(request.Priority, decision.MaxPriority) {
			t.Fatalf("priority %s is allowed, above the maximum %s", request.Priority, decision.MaxPriority)
		}
		if decision.Allowed && request.Action == Submit {
			for _, lower := range wire.Priorities()[slices.Index(wire.Priorities(), request.Priority):] {
				if lowerDecision := policy.Decide(&who, Request{Submit, request.Team, lower}); !lowerDecision.Allowed && !strings.HasPrefix(lowerDecision.Rule, "deny") {
					t.Fatalf("priority %s is allowed, the lower %s is not: %s", request.Priority, lower, lowerDecision.Rule)
				}
			}
		}
		unnamed := Identity{Name: "zoe", Kind: Person}
		if unnamedDecision := policy.Decide(&unnamed, request); unnamedDecision.Allowed && !slices.ContainsFunc(policy.Allow, func(r Rule) bool { return r.Who == "anyone" || r.Who == "known" }) {
			t.Fatalf("an identity that no rule names is allowed: %s", unnamedDecision.Rule)
		}
	})
}
