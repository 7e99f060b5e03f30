package settings

import (
	"slices"
	"strings"
)

// PeerNames returns the names of the other controllers.
func (settings *Settings) PeerNames() []string {
	var names []string
	for _, peer := range settings.Peers {
		names = append(names, peer.Name)
	}
	return names
}

// AnyInZone reports whether any of the named peers is in a zone.
func (settings *Settings) AnyInZone(zone string, names []string) bool {
	return slices.ContainsFunc(settings.Peers, func(peer Peer) bool {
		return peer.Zone == zone && slices.Contains(names, peer.Name)
	})
}

// HasControllerInZone reports whether any controller, this one included, is in a zone.
func (settings *Settings) HasControllerInZone(zone string) bool {
	return settings.Zone == zone || slices.ContainsFunc(settings.Peers, func(peer Peer) bool { return peer.Zone == zone })
}

// DeploymentName identifies the deployment by the sorted names of its controllers. Snapshots
// carry it, so that those of another deployment are refused.
func (settings *Settings) DeploymentName() string {
	names := []string{settings.Name}
	for _, peer := range settings.Peers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}
