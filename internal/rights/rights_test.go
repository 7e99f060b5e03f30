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
		name    string
		who     Identity
		q       Request
		allowed bool
		cap     string
		says    string
	}{
		{"own team, highest rank", curator, Request{Submit, "museum", "production"}, true, "production", "role:curator"},
		{"another team", curator, Request{Submit, "archive", "idle"}, false, "", "no rule"},
		{"guest at idle", guest, Request{Submit, "visitors", "idle"}, true, "idle", "role:guest"},
		{"guest at what is denied, though allowed too", guest, Request{Submit, "visitors", "standard"}, false, "", "deny"},
		{"guest above what is allowed", guest, Request{Submit, "visitors", "urgent"}, false, "", "deny"},
		{"a service for one of its teams", Identity{Name: "relay", Kind: Service}, Request{Submit, "archive", "standard"}, true, "urgent", "service:relay"},
		{"a service above its rank", Identity{Name: "relay", Kind: Service}, Request{Submit, "archive", "production"}, false, "", "above what is allowed"},
		{"a person who is called as the service", Identity{Name: "relay", Kind: Person}, Request{Submit, "archive", "standard"}, false, "", "no rule"},
		{"withdraw another's", guest, Request{Action: Cancel, Team: "museum"}, false, "", "no rule"},
		{"wait for another's", guest, Request{Action: DependOn, Team: "museum"}, false, "", "no rule"},
		{"read, by anonymous", Identity{}, Request{Action: Read, Team: "museum"}, true, "", "anonymous"},
		{"read a job of nobody knows whom", Identity{}, Request{Action: Read}, false, "", "no rule"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := rules.Decide(&tc.who, tc.q)
			if d.Allowed != tc.allowed || d.MaxPriority != tc.cap || !strings.Contains(d.Rule, tc.says) {
				t.Errorf("%+v", d)
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
			t.Errorf("%s: %v", tc.rule, err)
		}
	}
}

// Whatever the rules: nothing is allowed without a rule for it, what is denied stays
// denied whatever else is allowed, an allowed rank is never above the cap, and whoever
// may have a rank may have all below it unless that is denied.
func TestDecideHolds(t *testing.T) {
	rule := rapid.Custom(func(t *rapid.T) Rule {
		return Rule{
			Who:         rapid.SampledFrom([]string{"anonymous", "anyone", "known", "person:ana", "service:ana", "team:museum", "role:guest"}).Draw(t, "who"),
			Actions:     rapid.SampledFrom([]string{"submit", "submit withdraw", "read need"}).Draw(t, "do"),
			Teams:       rapid.SampledFrom([]string{"", "own", "*", "museum", "archive museum"}).Draw(t, "owner"),
			MaxPriority: rapid.SampledFrom([]string{"", "production", "urgent", "standard", "idle"}).Draw(t, "rank"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		rs := Rules{Allow: rapid.SliceOfN(rule, 0, 4).Draw(t, "allow"), Deny: rapid.SliceOfN(rule, 0, 3).Draw(t, "deny")}
		who := rapid.SampledFrom([]Identity{{}, curator, guest, {Name: "ana", Kind: Service}}).Draw(t, "who")
		q := Request{
			Action:   rapid.SampledFrom([]string{Submit, Cancel, Read, DependOn}).Draw(t, "do"),
			Team:     rapid.SampledFrom([]string{"museum", "archive", "visitors"}).Draw(t, "owner"),
			Priority: rapid.SampledFrom(wire.Priorities()).Draw(t, "rank"),
		}
		d := rs.Decide(&who, q)
		if d.Allowed && len(rs.Allow) == 0 {
			t.Fatalf("nothing allows it: %+v", d)
		}
		if less := (&Rules{Allow: rs.Allow}).Decide(&who, q); d.Allowed && !less.Allowed {
			t.Fatal("a rule that denies allows it")
		}
		if d.Allowed && q.Action == Submit && HigherPriority(q.Priority, d.MaxPriority) {
			t.Fatalf("%s is allowed above the cap %s", q.Priority, d.MaxPriority)
		}
		if d.Allowed && q.Action == Submit {
			for _, lower := range wire.Priorities()[slices.Index(wire.Priorities(), q.Priority):] {
				if l := rs.Decide(&who, Request{Submit, q.Team, lower}); !l.Allowed && !strings.HasPrefix(l.Rule, "deny") {
					t.Fatalf("%s is allowed, %s not: %s", q.Priority, lower, l.Rule)
				}
			}
		}
		stranger := Identity{Name: "zoe", Kind: Person}
		if z := rs.Decide(&stranger, q); z.Allowed && !slices.ContainsFunc(rs.Allow, func(r Rule) bool { return r.Who == "anyone" || r.Who == "known" }) {
			t.Fatalf("a stranger may: %s", z.Rule)
		}
	})
}
