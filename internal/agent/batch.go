package agent

import (
	"encoding/json"

	"rillflow/internal/wire"
)

// MaxBatchBytes is the protocol's limit on the line of a response to a heartbeat and on the body of a
// direct command.
const MaxBatchBytes = 64 << 10

// maxShortBatch is the number of commands that fit MaxBatchBytes whatever they are: the encoding of
// one takes less than 256 bytes.
const maxShortBatch = MaxBatchBytes/256 - 1

// FitBatch returns a batch with those commands that its encoding has room for, in their order. It
// leaves out starts before any other command, and the last ones first. They follow in later messages,
// since commands are derived from what the worker reports.
func FitBatch(batch wire.CommandBatch) wire.CommandBatch {
	if len(batch.Commands) <= maxShortBatch {
		return batch
	}
	included := fittingCommands(batch)
	fitting := make([]wire.Command, 0, len(batch.Commands))
	for i, command := range batch.Commands {
		if included[i] {
			fitting = append(fitting, command)
		}
	}
	batch.Commands = fitting
	return batch
}

// fittingCommands reports for each command of a batch whether it is included, starts last.
func fittingCommands(batch wire.CommandBatch) []bool {
	included := make([]bool, len(batch.Commands))
	envelope := wire.CommandBatch{Epoch: batch.Epoch, Incarnation: batch.Incarnation, Commands: []wire.Command{}}
	room := MaxBatchBytes - encodedSize(envelope) + len(",") // the first command needs no comma
	for _, isStart := range []bool{false, true} {
		for i, command := range batch.Commands {
			if (command.Action == wire.ActionStart) != isStart {
				continue
			}
			room -= encodedSize(command) + len(",")
			if room < 0 {
				return included
			}
			included[i] = true
		}
	}
	return included
}

// encodedSize returns the size of a message's encoding, in bytes.
func encodedSize(message any) int {
	encoded, err := json.Marshal(message)
	if err != nil {
		return MaxBatchBytes // a number that has no encoding
	}
	return len(encoded)
}
