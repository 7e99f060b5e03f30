package settings

import (
	"math"
	"strings"
	"testing"
)

const validSettings = `
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
		{"valid, unknown fields ignored", "", "", ""},
		{"not TOML", "node_name", "= =", "toml"},
		{"missing address", `front = "127.0.0.1:1"`, "", "Front"},
		{"lease shorter than the heartbeat interval", "lease_s = 30.0", "lease_s = 1.0", "LeaseS"},
		{"maximum below the guarantee", "cpus_max = 2.0", "cpus_max = 0.5", "CPUsMax"},
		{"negative write rate", "write_rps = 5.0", "write_rps = -5.0", "WriteRPS"},
		{"announced limits", "txn_ops = 16\n", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 2.0\n", ""},
		{"announced value size below 1 KB", "txn_ops = 16\n", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 0.1\n", "ValueKB"},
		{"announced transaction too small for the end of a job", "txn_ops = 16\n", "txn_ops = 16\n[facts.state.next]\ntxn_ops = 2\n", "TxnOps"},
		{"negative announced rate", "txn_ops = 16\n", "txn_ops = 16\n[facts.state.next]\nwrite_rps = -1.0\n", "WriteRPS"},
		{"missing memory limit", "memory_mb = 70.0", "", "MemoryMB"},
		{"infinite memory limit", "memory_mb = 70.0", "memory_mb = inf", "MemoryMB"},
		{"CPU share not a number", "cpu_share = 0.1", "cpu_share = nan", "CPUShare"},
		{"lease too long", "lease_s = 30.0", "lease_s = 1e300", "LeaseS"},
		{"too few sockets to serve", "sockets = 900", "sockets = 3", "Sockets"},
		{"unlisted zone", "[facts.workers]", "[facts]\nzones = [\"a\"]\n[facts.workers]", "location"},
		{"no peers in a deployment of several controllers", "[[members]]\nnode_name = \"n1\"\nendpoint = \"127.0.0.1:3\"\n", "[facts]\nsize = 3\n", "members"},
		{"peer with the controller's own name", `node_name = "n1"`, `node_name = "n0"`, "used twice"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, tc.old, tc.new, 1)))
			checkError(t, err, tc.want)
		})
	}
}

// Guards against jobs of a guest team that are all refused: a limit of 0 means that there is none.
func TestTeamWithoutLimit(t *testing.T) {
	inf := math.Inf(1)
	for _, tc := range []struct {
		name, quota string
		want        Team
	}{
		{"guarantee and limit", "cpus = 1.0\ncpus_max = 2.0", Team{Name: "a", CPUs: 1, CPUsMax: 2}},
		{"neither", "cpus = 0.0\ncpus_max = 0.0\ngpus_max = 0.0", Team{Name: "a", CPUsMax: inf, GPUsMax: inf}},
		{"guarantee without a limit", "cpus = 1.0\ncpus_max = 0.0", Team{Name: "a", CPUs: 1, CPUsMax: inf, GPUsMax: inf}},
		{"limited GPUs alone", "cpus_max = 0.0\ngpus_max = 4.0", Team{Name: "a", CPUsMax: inf, GPUsMax: 4}},
		{"CPUs but no GPUs", "cpus_max = 2.0\ngpus_max = 0.0", Team{Name: "a", CPUsMax: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			settings, err := Parse([]byte(strings.Replace(validSettings, "cpus = 1.0\ncpus_max = 2.0", tc.quota, 1)))
			if err != nil {
				t.Fatal(err)
			}
			if team, _ := settings.Team("a"); team != tc.want || team.HasLimit() == math.IsInf(tc.want.CPUsMax, 1) {
				t.Errorf("got team %+v, has a limit: %v; want %+v", team, team.HasLimit(), tc.want)
			}
		})
	}
}

func TestParseOperator(t *testing.T) {
	for _, tc := range []struct{ name, in, want string }{
		{"empty", "", ""},
		{"one value", "<rillflow><lead><grant>0.2</grant></lead></rillflow>", ""},
		{"unknown element", "<rillflow><lead><grnat>0.2</grnat></lead></rillflow>", "<grnat>"},
		{"known element in the wrong place", "<rillflow><fleet><grant>0.2</grant></fleet></rillflow>", "<grant>"},
		{"horizon below the minimum of the algorithm", "<rillflow><placement><horizon>100</horizon></placement></rillflow>", "Horizon"},
		{"horizon below 8 run-bounds", "<rillflow><placement><run-bound>100</run-bound></placement></rillflow>", "horizon"},
		{"unknown type field", "<rillflow><placement><type-fields>class hue</type-fields></placement></rillflow>", "hue"},
		{"not XML", "<rillflow>", "EOF"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			operator, err := ParseOperator([]byte(tc.in))
			checkError(t, err, tc.want)
			if err == nil && operator.Placement.Horizon == 0 {
				t.Error("placement.horizon is 0, want its default")
			}
		})
	}
}

func checkError(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" && err != nil {
		t.Errorf("unexpected error: %v", err)
	}
	if want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("got error %v, want one containing %q", err, want)
	}
}

func TestLowest(t *testing.T) {
	current := StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 16, TxnOps: 16}
	for _, tc := range []struct {
		name      string
		announced *AnnouncedStoreLimits
		want      StoreLimits
	}{
		{"none announced", nil, current},
		{"all lower", &AnnouncedStoreLimits{RPS: 50, WriteRPS: 10, ValueKB: 2, TxnOps: 4}, StoreLimits{RPS: 50, WriteRPS: 10, ValueKB: 2, TxnOps: 4}},
		{"one lower", &AnnouncedStoreLimits{ValueKB: 2}, StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 2, TxnOps: 16}},
		{"higher ones are ignored", &AnnouncedStoreLimits{RPS: 500, TxnOps: 32}, current},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limits := current
			limits.Announced = tc.announced
			if got := limits.Lowest(); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// The choice is made per class: the deadline objective of one class must not stop scaling
// ahead for another with an objective for the time from submission, and a class with both
// isn't scaled ahead for.
func TestScalesAhead(t *testing.T) {
	for _, tc := range []struct {
		name       string
		objectives []string // kind and class
		costSaving string
		want       string // the classes that are scaled ahead for
	}{
		{"no objectives", nil, "auto", "xyz"},
		{"deadlines only", []string{"deadline x", "wait y"}, "auto", ""},
		{"price objective", []string{"price", "finished x"}, "auto", ""},
		{"one class with a deadline, one with a time from submission", []string{"deadline x", "finished y"}, "auto", "yz"},
		{"one class with both", []string{"deadline x", "finished x"}, "auto", ""},
		{"time from submission only", []string{"finished x", "wait y"}, "auto", "xyz"},
		{"operator sets always", []string{"finished x"}, "always", ""},
		{"operator sets never", []string{"price"}, "never", "xyz"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var settings Settings
			settings.Operator.Fleet.CostSaving = tc.costSaving
			for _, objective := range tc.objectives {
				kind, class, _ := strings.Cut(objective, " ")
				settings.Facts.Objectives = append(settings.Facts.Objectives, Objective{Kind: kind, Class: class})
			}
			got := ""
			for _, class := range []string{"x", "y", "z"} {
				if settings.ScalesAhead(class) {
					got += class
				}
			}
			if got != tc.want || settings.NeverScalesAhead() != (tc.want == "") {
				t.Errorf("scales ahead for %q, never: %v; want %q", got, settings.NeverScalesAhead(), tc.want)
			}
		})
	}
}
