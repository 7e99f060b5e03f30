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

// OperatorFile is the default name of the operators' file, in the directory of the platform's
// settings file.
const OperatorFile = "rillflow.xml"

// ErrSettings is wrapped by every error of Load. The rest of the error names the file and,
// if a single field is invalid, the field.
var ErrSettings = errors.New("settings")

// Load reads the platform's settings at path and the operators' file at operatorPath. If
// operatorPath is empty, OperatorFile in the directory of path is read if it exists. Relative
// paths in the operators' file are resolved against its directory.
func Load(path, operatorPath string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrSettings, path, err)
	}
	required := operatorPath != ""
	if !required {
		operatorPath = filepath.Join(filepath.Dir(path), OperatorFile)
	}
	operatorData, err := os.ReadFile(operatorPath)
	if err != nil && (required || !errors.Is(err, fs.ErrNotExist)) {
		return nil, fmt.Errorf("operator %w: %w", ErrSettings, err)
	}
	if settings.Operator, err = ParseOperator(operatorData); err != nil {
		return nil, fmt.Errorf("operator %w %s: %w", ErrSettings, operatorPath, err)
	}
	operator := &settings.Operator
	for _, path := range []*string{&operator.Access.Keys, &operator.TLS.Folder, &operator.Recovery.SnapshotFolder} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(filepath.Dir(operatorPath), *path)
		}
	}
	return settings, nil
}

// Parse decodes and validates the platform's settings. Unknown fields are ignored.
func Parse(data []byte) (*Settings, error) {
	var settings Settings
	if err := toml.Unmarshal(data, &settings); err != nil {
		return nil, err
	}
	for i := range settings.Facts.Teams {
		settings.Facts.Teams[i].liftMissingLimits()
	}
	if err := validator.New().Struct(&settings); err != nil {
		return nil, firstError(err)
	}
	seen := map[string]bool{settings.Name: true}
	for _, peer := range settings.Peers {
		if seen[peer.Name] {
			return nil, fmt.Errorf("node_name %q is used twice", peer.Name)
		}
		seen[peer.Name] = true
	}
	return &settings, settings.checkZones()
}

// checkZones returns an error if the controllers contradict facts.size or facts.zones.
func (settings *Settings) checkZones() error {
	if settings.Facts.Size > 1 && len(settings.Peers) == 0 {
		return fmt.Errorf("members: none given, but facts.size is %d", settings.Facts.Size)
	}
	if len(settings.Facts.Zones) == 0 {
		return nil
	}
	for _, controller := range append([]Peer{{Name: settings.Name, Zone: settings.Zone}}, settings.Peers...) {
		if !slices.Contains(settings.Facts.Zones, controller.Zone) {
			return fmt.Errorf("location: %q of %s is not in facts.zones", controller.Zone, controller.Name)
		}
	}
	return nil
}

// firstError describes the first violation of a validation error by field, rule and value.
func firstError(err error) error {
	var violations validator.ValidationErrors
	if errors.As(err, &violations) && len(violations) > 0 {
		violation := violations[0]
		return fmt.Errorf("%s: must satisfy %s %s, is %v",
			violation.Namespace(), violation.Tag(), violation.Param(), violation.Value())
	}
	return err
}
