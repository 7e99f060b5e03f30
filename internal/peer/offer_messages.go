package peer

import (
	"time"

	"rillflow/internal/codec"
	"rillflow/internal/placement"
)

func encodeOffer(offer *placement.Offer) []byte {
	var encoder codec.Encoder
	encoder.Uint(uint64(len(offer.Candidates)))
	for i := range offer.Candidates {
		encodeCandidate(&encoder, &offer.Candidates[i])
	}
	encoder.Uint(uint64(len(offer.Queues)))
	for i := range offer.Queues {
		queue := &offer.Queues[i]
		encoder.Str(queue.Type)
		encoder.Int(int64(queue.Unfinished))
		encoder.Uint(uint64(len(queue.Jobs)))
		for j := range queue.Jobs {
			encodeWaitingJob(&encoder, &queue.Jobs[j])
		}
	}
	return encoder.B
}

func encodeCandidate(encoder *codec.Encoder, candidate *placement.Candidate) {
	encoder.Str(candidate.Worker)
	encoder.Str(candidate.InstanceType)
	encoder.Str(candidate.Zone)
	encoder.Bool(candidate.Spot)
	encoder.Float(candidate.CPUs)
	encoder.Float(candidate.GPUs)
	encoder.Float(candidate.MemoryGB)
	encoder.Float(candidate.TotalCPUs)
	encoder.Float(candidate.PullGBPerSecond)
	encoder.Strs(candidate.Images)
	encoder.Strs(candidate.PullingImages)
	encoder.Float(candidate.PullingGB)
	encoder.Str(candidate.ReservedFor)
	encoder.Int(int64(candidate.ReservedTier))
}

func encodeWaitingJob(encoder *codec.Encoder, job *placement.WaitingJob) {
	encoder.Str(job.JobID)
	encoder.Int(int64(job.Tasks))
	encoder.Int(int64(job.Tier))
	encoder.Int(int64(job.Age))
	encoder.Float(job.CPUs)
	encoder.Float(job.GPUs)
	encoder.Float(job.MemoryGB)
	encoder.Float(job.ImageGB)
	encoder.Str(job.Image)
	encoder.Bool(job.Service)
	encoder.Bool(job.AllowSpot)
	encoder.Strs(job.InstanceTypes)
	encoder.Bool(job.ZoneSlots != nil)
	encoder.Uint(uint64(len(job.ZoneSlots)))
	for zone, slots := range job.ZoneSlots {
		encoder.Str(zone)
		encoder.Int(int64(slots))
	}
	encoder.Strs(job.ExcludedWorkers)
	encoder.Float(job.StartWithinSeconds)
	encoder.Strs(job.WarmZones)
}

func decodeOffer(b []byte) (offer placement.Offer, err error) {
	decoder := codec.Decoder{B: b}
	for range decoder.Items() {
		offer.Candidates = append(offer.Candidates, decodeCandidate(&decoder))
	}
	for range decoder.Items() {
		queue := placement.Queue{Type: decoder.Str(), Unfinished: int(decoder.Int())}
		for range decoder.Items() {
			queue.Jobs = append(queue.Jobs, decodeWaitingJob(&decoder))
		}
		offer.Queues = append(offer.Queues, queue)
	}
	return offer, decoder.Done()
}

func decodeCandidate(decoder *codec.Decoder) (candidate placement.Candidate) {
	candidate.Worker = decoder.Str()
	candidate.InstanceType = decoder.Str()
	candidate.Zone = decoder.Str()
	candidate.Spot = decoder.Bool()
	candidate.CPUs = decoder.Float()
	candidate.GPUs = decoder.Float()
	candidate.MemoryGB = decoder.Float()
	candidate.TotalCPUs = decoder.Float()
	candidate.PullGBPerSecond = decoder.Float()
	candidate.Images = decoder.Strs()
	candidate.PullingImages = decoder.Strs()
	candidate.PullingGB = decoder.Float()
	candidate.ReservedFor = decoder.Str()
	candidate.ReservedTier = int(decoder.Int())
	return candidate
}

func decodeWaitingJob(decoder *codec.Decoder) (job placement.WaitingJob) {
	job.JobID = decoder.Str()
	job.Tasks = int(decoder.Int())
	job.Tier = int(decoder.Int())
	job.Age = time.Duration(decoder.Int())
	job.CPUs = decoder.Float()
	job.GPUs = decoder.Float()
	job.MemoryGB = decoder.Float()
	job.ImageGB = decoder.Float()
	job.Image = decoder.Str()
	job.Service = decoder.Bool()
	job.AllowSpot = decoder.Bool()
	job.InstanceTypes = decoder.Strs()
	job.ZoneSlots = decodeZoneSlots(decoder)
	job.ExcludedWorkers = decoder.Strs()
	job.StartWithinSeconds = decoder.Float()
	job.WarmZones = decoder.Strs()
	return job
}

// decodeZoneSlots returns nil for a job that is not limited to zones, and an empty map for
// one without a free slot in any zone.
func decodeZoneSlots(decoder *codec.Decoder) map[string]int {
	var slots map[string]int
	if decoder.Bool() {
		slots = make(map[string]int)
	}
	for range decoder.Count() {
		zone, count := decoder.Str(), int(decoder.Int())
		if slots != nil {
			slots[zone] = count
		}
	}
	return slots
}

func encodePicks(picks []placement.Pick) []byte {
	var encoder codec.Encoder
	encoder.Uint(uint64(len(picks)))
	for _, pick := range picks {
		encoder.Str(pick.Worker)
		encoder.Str(pick.JobID)
		encoder.Int(int64(pick.Tier))
		encoder.Float(pick.Cost)
		encoder.Float(pick.Weight)
	}
	return encoder.B
}

func decodePicks(b []byte) (picks []placement.Pick, err error) {
	decoder := codec.Decoder{B: b}
	for range decoder.Items() {
		picks = append(picks, placement.Pick{
			Worker: decoder.Str(), JobID: decoder.Str(), Tier: int(decoder.Int()),
			Cost: decoder.Float(), Weight: decoder.Float(),
		})
	}
	return picks, decoder.Done()
}
