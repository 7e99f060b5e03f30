package settings

import (
	"slices"
	"strings"
)

// Others returns the names of the other controllers.
func (s *Settings) Others() []string {
	var out []string
	for _, m := range s.Members {
		out = append(out, m.Node)
	}
	return out
}

// Near reports whether any other controller of those named is in a zone.
func (s *Settings) Near(zone string, nodes []string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool {
		return m.Zone == zone && slices.Contains(nodes, m.Node)
	})
}

// Covered reports whether any controller is in a zone.
func (s *Settings) Covered(zone string) bool {
	return s.Zone == zone || slices.ContainsFunc(s.Members, func(m Member) bool { return m.Zone == zone })
}

// Deployment names the deployment by its controllers: a snapshot of one is of no use to
// another.
func (s *Settings) Deployment() string {
	names := []string{s.Node}
	for _, m := range s.Members {
		names = append(names, m.Node)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}
