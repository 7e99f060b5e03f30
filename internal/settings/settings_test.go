package settings

import (
	"strings"
	"testing"
)

const good = `
node_name = "n0"
front = "127.0.0.1:1"
back = "127.0.0.1:2"
unknown = 3
[[members]]
node_name = "n1"
endpoint = "127.0.0.1:3"
[services]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[[facts.teams]]
name = "a"
cpus = 1.0
cpus_max = 2.0
[facts.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 40.0
[facts.state]
rps = 10.0
write_rps = 5.0
value_kb = 16.0
txn_ops = 16
[facts.cloud]
rps = 2.0
[facts.resources]
cpu_share = 0.1
memory_mb = 70.0
sockets = 900
`

func TestParse(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"good, unknown fields ignored", "", "", ""},
		{"not TOML", "node_name", "= =", "toml"},
		{"no address", `front = "127.0.0.1:1"`, "", "Front"},
		{"lease below the report", "lease_s = 30.0", "lease_s = 1.0", "LeaseS"},
		{"limit below the guarantee", "cpus_max = 2.0", "cpus_max = 0.5", "CPUsMax"},
		{"negative budget", "write_rps = 5.0", "write_rps = -5.0", "WriteRPS"},
		{"a member named as oneself", `node_name = "n1"`, `node_name = "n0"`, "used twice"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(good, tc.old, tc.new, 1)))
			check(t, err, tc.want)
		})
	}
}

func TestParseOperator(t *testing.T) {
	for _, tc := range []struct{ name, in, want string }{
		{"empty", "", ""},
		{"one value", "<rillflow><lead><grant>0.2</grant></lead></rillflow>", ""},
		{"unknown element", "<rillflow><lead><grnat>0.2</grnat></lead></rillflow>", "<grnat>"},
		{"right name, wrong place", "<rillflow><fleet><grant>0.2</grant></fleet></rillflow>", "<grant>"},
		{"horizon below the paper's", "<rillflow><placement><horizon>100</horizon></placement></rillflow>", "Horizon"},
		{"horizon below 8 U", "<rillflow><placement><run-bound>100</run-bound></placement></rillflow>", "horizon"},
		{"unknown type field", "<rillflow><placement><type-fields>class hue</type-fields></placement></rillflow>", "hue"},
		{"not XML", "<rillflow>", "EOF"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			op, err := ParseOperator([]byte(tc.in))
			check(t, err, tc.want)
			if err == nil && op.Placement.Horizon == 0 {
				t.Error("a default is missing")
			}
		})
	}
}

func check(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" && err != nil {
		t.Errorf("unexpected: %v", err)
	}
	if want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("got %v, want one naming %q", err, want)
	}
}
