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
		{"announced limits", "txn_ops = 16\n", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 2.0\n", ""},
		{"an announced value of nothing", "txn_ops = 16\n", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 0.1\n", "ValueKB"},
		{"an announced transaction that holds no end of a job", "txn_ops = 16\n", "txn_ops = 16\n[facts.state.next]\ntxn_ops = 2\n", "TxnOps"},
		{"a negative announced rate", "txn_ops = 16\n", "txn_ops = 16\n[facts.state.next]\nwrite_rps = -1.0\n", "WriteRPS"},
		{"no memory named", "memory_mb = 70.0", "", "MemoryMB"},
		{"memory without end", "memory_mb = 70.0", "memory_mb = inf", "MemoryMB"},
		{"no number", "cpu_share = 0.1", "cpu_share = nan", "CPUShare"},
		{"a lease for ever", "lease_s = 30.0", "lease_s = 1e300", "LeaseS"},
		{"too few sockets to serve at all", "sockets = 900", "sockets = 3", "Sockets"},
		{"a zone that is not listed", "[facts.workers]", "[facts]\nzones = [\"a\"]\n[facts.workers]", "location"},
		{"no members", "[[members]]\nnode_name = \"n1\"\nendpoint = \"127.0.0.1:3\"\n", "[facts]\nsize = 3\n", "members"},
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

func TestLeast(t *testing.T) {
	now := StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 16, TxnOps: 16}
	for _, tc := range []struct {
		name string
		next *AnnouncedStoreLimits
		want StoreLimits
	}{
		{"none announced", nil, now},
		{"all", &AnnouncedStoreLimits{RPS: 50, WriteRPS: 10, ValueKB: 2, TxnOps: 4}, StoreLimits{RPS: 50, WriteRPS: 10, ValueKB: 2, TxnOps: 4}},
		{"some", &AnnouncedStoreLimits{ValueKB: 2}, StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 2, TxnOps: 16}},
		{"higher ones are not counted on", &AnnouncedStoreLimits{RPS: 500, TxnOps: 32}, now},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := now
			s.Announced = tc.next
			if got := s.Lowest(); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// Thrift goes by the class: a deadline for one does not make a fleet wait for work
// that others want done soon, and a class with both times is in no hurry.
func TestScalesAhead(t *testing.T) {
	for _, tc := range []struct {
		name   string
		aims   []string // kind and class
		thrift string
		ample  string // the classes that are rented ahead for
	}{
		{"nothing named", nil, "auto", "xyz"},
		{"deadlines only", []string{"deadline x", "wait y"}, "auto", ""},
		{"a price", []string{"price", "finished x"}, "auto", ""},
		{"a class with a deadline, and one wanted soon", []string{"deadline x", "finished y"}, "auto", "yz"},
		{"a class with both", []string{"deadline x", "finished x"}, "auto", ""},
		{"wanted soon only", []string{"finished x", "wait y"}, "auto", "xyz"},
		{"the operator says so", []string{"finished x"}, "always", ""},
		{"the operator says not", []string{"price"}, "never", "xyz"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s Settings
			s.Operator.Fleet.CostSaving = tc.thrift
			for _, a := range tc.aims {
				kind, class, _ := strings.Cut(a, " ")
				s.Facts.Objectives = append(s.Facts.Objectives, Objective{Kind: kind, Class: class})
			}
			got := ""
			for _, c := range []string{"x", "y", "z"} {
				if s.ScalesAhead(c) {
					got += c
				}
			}
			if got != tc.ample || s.NeverScalesAhead() != (tc.ample == "") {
				t.Errorf("rented ahead for %q, frugal: %v", got, s.NeverScalesAhead())
			}
		})
	}
}
