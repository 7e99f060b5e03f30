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

// AnyInZone reports whether any other controller of those named is in a zone.
func (settings *Settings) AnyInZone(zone string, names []string) bool {
	return slices.ContainsFunc(settings.Peers, func(peer Peer) bool {
		return peer.Zone == zone && slices.Contains(names, peer.Name)
	})
}

// HasControllerInZone reports whether any controller is in a zone.
func (settings *Settings) HasControllerInZone(zone string) bool {
	return settings.Zone == zone || slices.ContainsFunc(settings.Peers, func(peer Peer) bool { return peer.Zone == zone })
}

// DeploymentName names the deployment by its controllers: a snapshot of one is of no use to
// another.
func (settings *Settings) DeploymentName() string {
	names := []string{settings.Name}
	for _, peer := range settings.Peers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}
