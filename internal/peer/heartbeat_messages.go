package peer

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/codec"
	"rillflow/internal/wire"
)

// HeartbeatAnswer is the leader's answer to a heartbeat that a shard owner forwarded.
type HeartbeatAnswer struct {
	OK       bool // false if the leader could not answer the heartbeat
	Commands wire.CommandBatch
	Samples  []agent.RuntimeSample // for the shard owner's run-time estimates
}

func encodeHeartbeat(heartbeat *wire.Heartbeat) []byte {
	var encoder codec.Encoder
	encoder.Str(heartbeat.Worker)
	encoder.Str(heartbeat.Address)
	encoder.Str(heartbeat.InstanceType)
	encoder.Str(heartbeat.Zone)
	encoder.Bool(heartbeat.Spot)
	encoder.Uint(heartbeat.Incarnation)
	encoder.Uint(heartbeat.Sequence)
	encoder.Uint(heartbeat.Epoch)
	encoder.Bool(heartbeat.SpotNoticeSeconds != nil)
	if heartbeat.SpotNoticeSeconds != nil {
		encoder.Float(*heartbeat.SpotNoticeSeconds)
	}
	encoder.Uint(uint64(len(heartbeat.Tasks)))
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		encoder.Str(task.Task)
		encoder.Uint(task.Attempt)
		encoder.Str(task.Phase)
		encoder.Str(task.ExitReason)
		encoder.Bool(task.CheckpointSaved)
	}
	return encoder.B
}

func decodeHeartbeat(b []byte) (*wire.Heartbeat, error) {
	decoder := codec.Decoder{B: b}
	heartbeat := &wire.Heartbeat{
		Worker: decoder.Str(), Address: decoder.Str(), InstanceType: decoder.Str(), Zone: decoder.Str(), Spot: decoder.Bool(),
		Incarnation: decoder.Uint(), Sequence: decoder.Uint(), Epoch: decoder.Uint(),
	}
	if decoder.Bool() {
		notice := decoder.Float()
		heartbeat.SpotNoticeSeconds = &notice
	}
	for range decoder.Items() {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task: decoder.Str(), Attempt: decoder.Uint(), Phase: decoder.Str(),
			ExitReason: decoder.Str(), CheckpointSaved: decoder.Bool(),
		})
	}
	return heartbeat, decoder.Done()
}

func (answer *HeartbeatAnswer) encode() []byte {
	var encoder codec.Encoder
	encoder.Bool(answer.OK)
	encoder.Uint(answer.Commands.Epoch)
	encoder.Uint(uint64(len(answer.Commands.Commands)))
	for i := range answer.Commands.Commands {
		command := &answer.Commands.Commands[i]
		encoder.Str(command.Action)
		encoder.Str(command.Task)
		encoder.Uint(command.Attempt)
		encoder.Float(command.GraceSeconds)
	}
	encoder.Uint(uint64(len(answer.Samples)))
	for _, sample := range answer.Samples {
		encoder.Str(sample.JobType)
		encoder.Str(sample.InstanceType)
		encoder.Int(int64(sample.Duration))
	}
	return encoder.B
}

func decodeHeartbeatAnswer(b []byte) (answer HeartbeatAnswer, err error) {
	decoder := codec.Decoder{B: b}
	answer.OK = decoder.Bool()
	answer.Commands = wire.CommandBatch{Epoch: decoder.Uint(), Commands: []wire.Command{}}
	for range decoder.Items() {
		answer.Commands.Commands = append(
			answer.Commands.Commands,
			wire.Command{Action: decoder.Str(), Task: decoder.Str(), Attempt: decoder.Uint(), GraceSeconds: decoder.Float()},
		)
	}
	for range decoder.Items() {
		answer.Samples = append(
			answer.Samples,
			agent.RuntimeSample{JobType: decoder.Str(), InstanceType: decoder.Str(), Duration: time.Duration(decoder.Int())},
		)
	}
	return answer, decoder.Done()
}
