package peer

import (
	"context"
	"errors"

	"golang.org/x/mod/semver"
)

// maxVersionBytes is the length to which a peer's version is truncated.
const maxVersionBytes = 64

// The first versions that support the request kinds beside them.
const (
	minVersionReachability  = "v0.3.0" // kindReachability
	minVersionTokens        = "v0.4.0" // kindUserWithToken
	minVersionReplicas      = "v0.5.0" // kindStoreIncarnation, kindReplicaPush, kindReplicaPage
	minVersionCancellations = "v0.6.0" // kindCancellations
)

// exchangeVersions requests the peer's version, and reports whether the peer answered or
// refused: a refusal means that it is too old for the request, and its version stays "".
func (link *Link) exchangeVersions(ctx context.Context, handler Handler) bool {
	body, err := link.callWithTimeout(ctx, kindVersion, []byte(handler.Version()))
	link.mu.Lock()
	defer link.mu.Unlock()
	link.version = string(body[:min(len(body), maxVersionBytes)])
	link.versionKnown = err == nil || errors.Is(err, ErrRefused)
	return link.versionKnown
}

// hasKnownVersion reports whether the peer has reported its version, or is known to be too
// old to do so.
func (link *Link) hasKnownVersion() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.versionKnown
}

// atLeastVersion reports whether the peer is known to run the given version or a later one.
func (link *Link) atLeastVersion(minimum string) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	version := "v" + link.version
	return semver.IsValid(version) && semver.Compare(version, minimum) >= 0
}
