package rights

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"rillflow/internal/wire"
)

var (
	ana   = Identity{Name: "ana", Kind: Person, Teams: []string{"museum"}, Roles: []string{"curator"}}
	guest = Identity{Name: "gus", Kind: Person, Teams: []string{"visitors"}, Roles: []string{"guest"}}
	rules = Rules{
		Allow: []Rule{
			{Who: "role:curator", Do: "submit withdraw need", Rank: "production"},
			{Who: "role:guest", Do: "submit withdraw need", Owner: "own", Rank: "standard"},
			{Who: "known", Do: "read", Owner: "*"},
			{Who: "anonymous", Do: "read", Owner: "museum"},
			{Who: "service:relay", Do: "submit", Owner: "museum archive", Rank: "urgent"},
		},
		Deny: []Rule{{Who: "role:guest", Do: "submit", Owner: "*", Rank: "standard"}},
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
		{"own team, highest rank", ana, Request{Submit, "museum", "production"}, true, "production", "role:curator"},
		{"another team", ana, Request{Submit, "archive", "idle"}, false, "", "no rule"},
		{"guest at idle", guest, Request{Submit, "visitors", "idle"}, true, "idle", "role:guest"},
		{"guest at what is denied, though allowed too", guest, Request{Submit, "visitors", "standard"}, false, "", "deny"},
		{"guest above what is allowed", guest, Request{Submit, "visitors", "urgent"}, false, "", "deny"},
		{"a service for one of its teams", Identity{Name: "relay", Kind: Service}, Request{Submit, "archive", "standard"}, true, "urgent", "service:relay"},
		{"a service above its rank", Identity{Name: "relay", Kind: Service}, Request{Submit, "archive", "production"}, false, "", "above what is allowed"},
		{"a person who is called as the service", Identity{Name: "relay", Kind: Person}, Request{Submit, "archive", "standard"}, false, "", "no rule"},
		{"withdraw another's", guest, Request{Do: Withdraw, Owner: "museum"}, false, "", "no rule"},
		{"wait for another's", guest, Request{Do: Need, Owner: "museum"}, false, "", "no rule"},
		{"read, by anonymous", Identity{}, Request{Do: Read, Owner: "museum"}, true, "", "anonymous"},
		{"read a job of nobody knows whom", Identity{}, Request{Do: Read}, false, "", "no rule"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := rules.Decide(&tc.who, tc.q)
			if d.Allowed != tc.allowed || d.Cap != tc.cap || !strings.Contains(d.Rule, tc.says) {
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
		{Rule{Who: "role:x", Do: "read"}, ""},
		{Rule{Who: "everybody", Do: "read"}, "who"},
		{Rule{Who: "role:", Do: "read"}, "who"},
		{Rule{Who: "known", Do: "raed"}, "do"},
		{Rule{Who: "known"}, "do"},
		{Rule{Who: "known", Do: "submit", Rank: "top"}, "rank"},
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
			Who:   rapid.SampledFrom([]string{"anonymous", "anyone", "known", "person:ana", "service:ana", "team:museum", "role:guest"}).Draw(t, "who"),
			Do:    rapid.SampledFrom([]string{"submit", "submit withdraw", "read need"}).Draw(t, "do"),
			Owner: rapid.SampledFrom([]string{"", "own", "*", "museum", "archive museum"}).Draw(t, "owner"),
			Rank:  rapid.SampledFrom([]string{"", "production", "urgent", "standard", "idle"}).Draw(t, "rank"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		rs := Rules{Allow: rapid.SliceOfN(rule, 0, 4).Draw(t, "allow"), Deny: rapid.SliceOfN(rule, 0, 3).Draw(t, "deny")}
		who := rapid.SampledFrom([]Identity{{}, ana, guest, {Name: "ana", Kind: Service}}).Draw(t, "who")
		q := Request{
			Do:    rapid.SampledFrom([]string{Submit, Withdraw, Read, Need}).Draw(t, "do"),
			Owner: rapid.SampledFrom([]string{"museum", "archive", "visitors"}).Draw(t, "owner"),
			Rank:  rapid.SampledFrom(wire.Priorities()).Draw(t, "rank"),
		}
		d := rs.Decide(&who, q)
		if d.Allowed && len(rs.Allow) == 0 {
			t.Fatalf("nothing allows it: %+v", d)
		}
		if less := (&Rules{Allow: rs.Allow}).Decide(&who, q); d.Allowed && !less.Allowed {
			t.Fatal("a rule that denies allows it")
		}
		if d.Allowed && q.Do == Submit && Above(q.Rank, d.Cap) {
			t.Fatalf("%s is allowed above the cap %s", q.Rank, d.Cap)
		}
		if d.Allowed && q.Do == Submit {
			for _, lower := range wire.Priorities()[slices.Index(wire.Priorities(), q.Rank):] {
				if l := rs.Decide(&who, Request{Submit, q.Owner, lower}); !l.Allowed && !strings.HasPrefix(l.Rule, "deny") {
					t.Fatalf("%s is allowed, %s not: %s", q.Rank, lower, l.Rule)
				}
			}
		}
		stranger := Identity{Name: "zoe", Kind: Person}
		if z := rs.Decide(&stranger, q); z.Allowed && !slices.ContainsFunc(rs.Allow, func(r Rule) bool { return r.Who == "anyone" || r.Who == "known" }) {
			t.Fatalf("a stranger may: %s", z.Rule)
		}
	})
}
