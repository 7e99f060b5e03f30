package cancellation

import "slices"

// unacknowledgedBy returns the cancelled jobs that a peer is not known to have, sorted.
func (s *Set) unacknowledgedBy(peer string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobIDs []string
	for jobID, cancelled := range s.entries {
		if !cancelled.acknowledgedBy[peer] {
			jobIDs = append(jobIDs, jobID)
		}
	}
	slices.Sort(jobIDs)
	return jobIDs
}

// acknowledge records that a peer has these cancellations.
func (s *Set) acknowledge(peer string, jobIDs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, jobID := range jobIDs {
		if cancelled := s.entries[jobID]; cancelled != nil {
			cancelled.acknowledgedBy[peer] = true
		}
	}
}

// forgetAcknowledgements discards what a peer acknowledged. It is called for each new
// connection: the process behind it may be a new one that knows nothing.
func (s *Set) forgetAcknowledgements(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancelled := range s.entries {
		delete(cancelled.acknowledgedBy, peer)
	}
}
