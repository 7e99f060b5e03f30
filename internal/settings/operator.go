package settings

import (
	"bytes"
	_ "embed"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"rillflow/internal/rights"
)

//go:embed defaults.xml
var defaults []byte

// Operator are the operators' settings. defaults.xml holds the default of each and describes
// it with its unit.
type Operator struct {
	XMLName   xml.Name       `xml:"rillflow"`
	Placement Placement      `xml:"placement"`
	Election  Election       `xml:"lead"`
	Fleet     Fleet          `xml:"fleet"`
	Limits    ResourceRatios `xml:"limits"`
	Access    Access         `xml:"access"`
	TLS       TLS            `xml:"tls"`
	Recovery  Recovery       `xml:"rebuild"`
}

// Recovery are the settings of the copies of the store that are kept for recovery from data
// loss.
type Recovery struct {
	FinishedJobsMemory   float64 `xml:"ends" validate:"gte=0,lte=0.3"`
	SnapshotFolder       string  `xml:"folder"` // relative to the operators' file; "": no snapshots are kept
	SnapshotInterval     float64 `xml:"every" validate:"gt=0"`
	IncrementalSnapshots int     `xml:"steps" validate:"gte=0,lte=1000"`
	FullSnapshots        int     `xml:"wholes" validate:"gte=2"`
}

// TLS are the settings of encrypted connections.
type TLS struct {
	Folder string `xml:"folder"` // of the certificates, relative to the operators' file
	Front  string `xml:"front" validate:"oneof=off accept require"`
	Peers  string `xml:"back" validate:"oneof=off accept prefer require"`
}

// Enabled reports whether TLS is on for any address.
func (tls *TLS) Enabled() bool { return tls.Front != "off" || tls.Peers != "off" }

// Access are the settings of identities, rights and the audit log.
type Access struct {
	Identities    string  `xml:"identities" validate:"oneof=off on"`
	Audit         string  `xml:"audit" validate:"oneof=off on"`
	Keys          string  `xml:"keys"` // key ring's file, relative to the operators' file
	CacheLifetime float64 `xml:"trust" validate:"gt=0"`
	rights.Rules
}

// IdentitiesEnabled reports whether callers are authenticated and the rules enforced.
func (access *Access) IdentitiesEnabled() bool { return access.Identities == "on" }

// AuditEnabled reports whether the audit log is kept.
func (access *Access) AuditEnabled() bool { return access.Audit == "on" }

// Placement are the parameters of the placement algorithm.
type Placement struct {
	Horizon    float64 `xml:"horizon" validate:"gte=149"` // the algorithm's paper requires g >= e^5
	Bonus      float64 `xml:"bonus" validate:"gt=0"`
	RunBound   float64 `xml:"run-bound" validate:"gte=1"`
	Tick       float64 `xml:"tick" validate:"gt=0"`
	WaitAge    float64 `xml:"wait-age" validate:"gt=0"`
	NearTie    float64 `xml:"near-tie" validate:"gte=0,lt=1"`
	TypeFields string  `xml:"type-fields" validate:"required"`
}

// Election are the settings of leader election.
type Election struct {
	LeaseRatio float64 `xml:"grant" validate:"gt=0,lt=0.5"`
}

// Fleet are the settings of scaling: when instances are requested from the cloud and released.
type Fleet struct {
	CostSaving       string  `xml:"thrift" validate:"oneof=auto always never"`
	FailureTimeout   float64 `xml:"silence" validate:"gte=1.5"`
	GroupOutageGrace float64 `xml:"patience" validate:"gte=1"`
	ZoneLossHeadroom float64 `xml:"headroom" validate:"gte=0,lte=1"`
	SpareCapacity    float64 `xml:"spare" validate:"gte=0"`
	IdleTimeout      float64 `xml:"idle" validate:"gt=0"`
}

// ResourceRatios are limits as ratios to the process's resources (ProcessLimits).
type ResourceRatios struct {
	Memory      float64 `xml:"memory" validate:"gt=0,lte=0.9"`
	RefuseAbove float64 `xml:"refuse" validate:"gtfield=Memory,lte=0.95"`
	Sockets     float64 `xml:"sockets" validate:"gt=0,lte=0.9"`
}

// typeFields are the job fields that operators may build job types from.
var typeFields = []string{"class", "owner", "bundle", "rank", "shape"}

// ParseOperator decodes and validates an operators' file; settings that it leaves out keep
// their defaults. Empty data returns the defaults alone.
func ParseOperator(data []byte) (Operator, error) {
	var operator Operator
	if err := xml.Unmarshal(defaults, &operator); err != nil {
		return operator, fmt.Errorf("defaults: %w", err)
	}
	if len(bytes.TrimSpace(data)) > 0 {
		if err := checkNames(data); err != nil {
			return operator, err
		}
		operator.Access.Rules = rights.Rules{} // the rules in the defaults are only an example
		if err := xml.Unmarshal(data, &operator); err != nil {
			return operator, err
		}
	} else {
		operator.Access.Rules = rights.Rules{}
	}
	if err := validator.New().Struct(&operator); err != nil {
		return operator, firstError(err)
	}
	for _, field := range strings.Fields(operator.Placement.TypeFields) {
		if !slices.Contains(typeFields, field) {
			return operator, fmt.Errorf("type-fields: unknown field %q, must be one of %s",
				field, strings.Join(typeFields, ", "))
		}
	}
	if operator.TLS.Enabled() && operator.TLS.Folder == "" {
		return operator, errors.New("tls: <folder> is required unless <front> and <back> are off")
	}
	if err := operator.Access.Check(); err != nil {
		return operator, fmt.Errorf("access: %w", err)
	}
	if access := &operator.Access; (access.IdentitiesEnabled() || access.AuditEnabled()) && access.Keys == "" {
		return operator, errors.New("access: <keys> is required if <identities> or <audit> is on")
	}
	if horizon := operator.Placement.Horizon; horizon < 8*operator.Placement.RunBound {
		return operator, fmt.Errorf("horizon: %v is less than 8 times run-bound", horizon)
	}
	return operator, nil
}

// checkNames returns an error for an element that the defaults don't have: a misspelt
// setting would otherwise be ignored silently.
func checkNames(data []byte) error {
	known, err := elementPaths(defaults)
	if err != nil {
		return err
	}
	paths, err := elementPaths(data)
	if err != nil {
		return err
	}
	for _, path := range paths {
		if !slices.Contains(known, path) {
			return fmt.Errorf("unknown element <%s>", strings.ReplaceAll(path, "/", "> in <"))
		}
	}
	return nil
}

// elementPaths returns the path of each element of a document, innermost name first.
func elementPaths(data []byte) ([]string, error) {
	var stack, paths []string
	decoder := xml.NewDecoder(bytes.NewReader(data))
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return paths, nil
		}
		if err != nil {
			return nil, err
		}
		switch element := token.(type) {
		case xml.StartElement:
			stack = append([]string{element.Name.Local}, stack...)
			paths = append(paths, strings.Join(stack, "/"))
		case xml.EndElement:
			stack = stack[1:]
		}
	}
}

// TypeFieldNames returns the job fields whose values together make a job's type.
func (placement Placement) TypeFieldNames() []string { return strings.Fields(placement.TypeFields) }
