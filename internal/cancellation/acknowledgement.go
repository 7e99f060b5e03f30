package cancellation

import "slices"

// unacknowledgedBy returns the cancelled jobs that a peer has not acknowledged, sorted.
func (s *Set) unacknowledgedBy(peer string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobIDs []string
	for jobID, cancellation := range s.entries {
		if !cancellation.acknowledgedBy[peer] {
			jobIDs = append(jobIDs, jobID)
		}
	}
	slices.Sort(jobIDs)
	return jobIDs
}

// acknowledge records that a peer has acknowledged the cancellations of these jobs.
func (s *Set) acknowledge(peer string, jobIDs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, jobID := range jobIDs {
		if cancellation := s.entries[jobID]; cancellation != nil {
			cancellation.acknowledgedBy[peer] = true
		}
	}
}

// forgetAcknowledgements discards the acknowledgements of a peer. It is called for each
// new connection, since the peer may have restarted with an empty set.
func (s *Set) forgetAcknowledgements(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancellation := range s.entries {
		delete(cancellation.acknowledgedBy, peer)
	}
}
