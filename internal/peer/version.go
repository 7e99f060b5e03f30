package peer

import (
	"context"
	"errors"

	"golang.org/x/mod/semver"
)

// maxVersionBytes bounds the length of a peer's version.
const maxVersionBytes = 64

// The first versions that serve requests which older ones refuse.
const (
	sinceReachability  = "v0.3.0" // kindReachability
	sinceTokens        = "v0.4.0" // kindUserAs
	sinceReplicas      = "v0.5.0" // kindStoreIncarnation, kindReplicaPush, kindReplicaPage
	sinceCancellations = "v0.6.0" // kindCancellations
)

// exchangeVersions asks for the peer's version, and reports whether that is settled: a
// peer that is too old to know the question refuses it, and has no version then.
func (link *Link) exchangeVersions(ctx context.Context, handler Handler) bool {
	body, err := link.askWithTimeout(ctx, kindVersion, []byte(handler.Version()))
	link.mu.Lock()
	defer link.mu.Unlock()
	link.version = string(body[:min(len(body), maxVersionBytes)])
	link.versionKnown = err == nil || errors.Is(err, ErrRefused)
	return link.versionKnown
}

// hasKnownVersion reports whether the peer's version is known, or known to be too old to tell.
func (link *Link) hasKnownVersion() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.versionKnown
}

// atLeastVersion reports whether the peer is known to be of a version or a later one.
func (link *Link) atLeastVersion(first string) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	version := "v" + link.version
	return semver.IsValid(version) && semver.Compare(version, first) >= 0
}
