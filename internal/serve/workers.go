package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"rillflow/internal/agent"
	"rillflow/internal/dataloss"
	"rillflow/internal/jsonhttp"
	"rillflow/internal/retry"
	"rillflow/internal/shard"
	"rillflow/internal/wire"
)

// epochChecksPerHeartbeat bounds how often within a heartbeat interval the store is read to
// verify epochs reported by workers.
const epochChecksPerHeartbeat = 8

// handleHeartbeat answers a worker's heartbeat, or redirects it to the shard's owner.
func (controller *controller) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	controller.shard.RecordRequest()
	controller.closeIfCrowded(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, agent.MaxHeartbeatBytes))
	var heartbeat wire.Heartbeat
	if err == nil {
		err = json.Unmarshal(body, &heartbeat)
	}
	if err != nil {
		replyError(w, http.StatusBadRequest, "malformed report")
		return
	}
	controller.observeEpoch(heartbeat.Epoch)
	commands, err := controller.shard.Heartbeat(r.Context(), &heartbeat, controller.leader)
	if err == nil {
		jsonhttp.Answer(w, http.StatusOK, commands)
		return
	}
	var notOwner *shard.NotOwnerError
	if errors.As(err, &notOwner) && notOwner.RedirectTarget != "" &&
		notOwner.RedirectTarget != controller.settings.Name {
		jsonhttp.Answer(w, http.StatusMisdirectedRequest, wire.Redirect{Controller: notOwner.RedirectTarget})
		return
	}
	replyError(w, http.StatusServiceUnavailable, "not entitled")
}

// observeEpoch records the epoch that a worker reports. An epoch that was not issued under the
// store's current data belongs to an incarnation whose data is lost.
func (controller *controller) observeEpoch(epoch uint64) {
	controller.elector.ObserveEpoch(epoch)
	current := controller.dataLoss.Current()
	if current.InitialPhase == dataloss.PhaseProvisional && epoch > 0 && epoch < current.Epoch {
		// The incarnation began without data, so no earlier epoch can have been
		// issued in it.
		controller.dataLoss.Suspect(fmt.Sprintf("workers have seen epoch %d of an earlier history", epoch))
	}
	if epoch > controller.elector.ShardMap().Epoch {
		select {
		case controller.unknownEpochs <- epoch:
		default: // a check is pending already
		}
	}
}

// verifyUnknownEpochs compares the epochs that workers report with the stored one, and suspects
// data loss if the stored one is lower.
func (controller *controller) verifyUnknownEpochs(ctx context.Context) error {
	delay := controller.settings.HeartbeatInterval() / epochChecksPerHeartbeat
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case epoch := <-controller.unknownEpochs:
			stored, err := controller.elector.ReadShardMap(ctx)
			if err == nil && stored.Epoch < epoch && epoch > controller.elector.ShardMap().Epoch {
				controller.dataLoss.Suspect(fmt.Sprintf(
					"workers have seen epoch %d, and %d is stored", epoch, stored.Epoch))
			}
			retry.Backoff(ctx, 0, delay, delay)
		}
	}
}
