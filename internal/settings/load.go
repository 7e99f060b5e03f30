package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"
)

// OperatorFile is looked for beside the platform's settings file.
const OperatorFile = "rillflow.xml"

// ErrSettings says that the settings cannot be used. The rest of the error names the file
// and, where one is at fault, the field.
var ErrSettings = errors.New("settings")

// Load reads the settings at path and the operators' file beside it. An
// operator file named by xml must exist; the one beside path need not.
func Load(path, xml string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrSettings, path, err)
	}
	named := xml != ""
	if !named {
		xml = filepath.Join(filepath.Dir(path), OperatorFile)
	}
	own, err := os.ReadFile(xml)
	if err != nil && (named || !errors.Is(err, fs.ErrNotExist)) {
		return nil, fmt.Errorf("operator %w: %w", ErrSettings, err)
	}
	if s.Operator, err = ParseOperator(own); err != nil {
		return nil, fmt.Errorf("operator %w %s: %w", ErrSettings, xml, err)
	}
	for _, f := range []*string{&s.Operator.Access.Keys, &s.Operator.TLS.Folder, &s.Operator.Rebuild.Folder} {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(filepath.Dir(xml), *f)
		}
	}
	return s, nil
}

// Parse reads and checks the platform's settings. Unknown fields are ignored.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	if err := validator.New().Struct(&s); err != nil {
		return nil, firstError(err)
	}
	seen := map[string]bool{s.Node: true}
	for _, m := range s.Members {
		if seen[m.Node] {
			return nil, fmt.Errorf("node_name %q is used twice", m.Node)
		}
		seen[m.Node] = true
	}
	return &s, s.placed()
}

// placed returns an error for controllers that contradict the facts.
func (s *Settings) placed() error {
	if s.Facts.Size > 1 && len(s.Members) == 0 {
		return fmt.Errorf("members: none are named, facts.size is %d", s.Facts.Size)
	}
	if len(s.Facts.Zones) == 0 {
		return nil
	}
	for _, m := range append([]Member{{Node: s.Node, Zone: s.Zone}}, s.Members...) {
		if !slices.Contains(s.Facts.Zones, m.Zone) {
			return fmt.Errorf("location: %q of %s is not in facts.zones", m.Zone, m.Node)
		}
	}
	return nil
}

func firstError(err error) error {
	var ves validator.ValidationErrors
	if errors.As(err, &ves) && len(ves) > 0 {
		e := ves[0]
		return fmt.Errorf("%s: must satisfy %s %s, is %v", e.Namespace(), e.Tag(), e.Param(), e.Value())
	}
	return err
}
