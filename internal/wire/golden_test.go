package wire

import (
	"strings"
	"testing"

	"rillflow/internal/goldentest"
)

// Guards against changes of the fields, their names and their order in the protocol's messages.
func TestGoldenMessages(t *testing.T) {
	var out strings.Builder
	line := func(name, text string) { out.WriteString(name + "\t" + text + "\n") }
	line("submission", goldentest.JSON(t, goldentest.Filled[Job]()))
	line("submission, least", goldentest.JSON(t, Job{}))
	line("phase", goldentest.JSON(t, goldentest.Filled[JobStatus]()))
	line("phase, least", goldentest.JSON(t, JobStatus{}))
	line("report", goldentest.JSON(t, goldentest.Filled[Heartbeat]()))
	line("report, least", goldentest.JSON(t, Heartbeat{}))
	line("report's task, least", goldentest.JSON(t, TaskStatus{}))
	line("orders", goldentest.JSON(t, goldentest.Filled[CommandBatch]()))
	line("orders, least", goldentest.JSON(t, CommandBatch{Commands: []Command{}}))
	line("steward", goldentest.JSON(t, goldentest.Filled[Redirect]()))
	line("steward, least", goldentest.JSON(t, Redirect{}))
	line("error", goldentest.JSON(t, goldentest.Filled[ErrorResponse]()))
	line("machine types", goldentest.JSON(t, goldentest.Filled[InstanceTypeList]()))
	line("rent", goldentest.JSON(t, goldentest.Filled[ScaleOutRequest]()))
	line("host names", goldentest.JSON(t, goldentest.Filled[InstanceNames]()))
	line("host list", goldentest.JSON(t, goldentest.Filled[InstancePage]()))
	line("item", goldentest.JSON(t, goldentest.Filled[KeyValue]()))
	line("page", goldentest.JSON(t, goldentest.Filled[RangeResponse]()))
	line("commit", goldentest.JSON(t, goldentest.Filled[Txn]()))
	line("change, least", goldentest.JSON(t, Operation{}))
	line("committed", goldentest.JSON(t, goldentest.Filled[TxnResponse]()))
	line("grant", goldentest.JSON(t, goldentest.Filled[Lease]()))
	line("grant, least", goldentest.JSON(t, Lease{}))
	line("change log", goldentest.JSON(t, goldentest.Filled[WatchResponse]()))
	goldentest.Check(t, "messages.txt", out.String())
}

// Guards against changes of the protocol's enum values.
func TestGoldenEnumValues(t *testing.T) {
	goldentest.Check(t, "words.txt", strings.Join([]string{
		"job phases: " + strings.Join([]string{PhaseQueued, PhaseRunning, PhaseDone, PhaseCancelled}, " "),
		"shapes: " + strings.Join([]string{KindArray, KindService, KindGang}, " "),
		"ranks: " + strings.Join(Priorities(), " "),
		"task phases: " + strings.Join([]string{TaskFetching, TaskRunning, TaskSaving, TaskExited}, " "),
		"causes: " + strings.Join([]string{
			ExitDone, ExitStopped, ExitFailed, ExitNoCapacity, ExitDuplicate, ExitUnknownTask,
		}, " "),
		"verbs: " + strings.Join([]string{ActionStart, ActionStop, ActionForget}, " "),
		"machine phases: " + strings.Join([]string{InstanceStarting, InstanceFailed}, " "),
	}, "\n")+"\n")
}
