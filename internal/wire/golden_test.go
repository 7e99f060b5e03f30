package wire

import (
	"strings"
	"testing"

	"rillflow/internal/goldentest"
)

// Every message of the platform's protocol keeps its fields, their names and their order.
func TestGoldenMessages(t *testing.T) {
	var out strings.Builder
	line := func(name, text string) { out.WriteString(name + "\t" + text + "\n") }
	line("submission", goldentest.JSON(t, goldentest.Filled[Job]()))
	line("submission, least", goldentest.JSON(t, Job{}))
	line("phase", goldentest.JSON(t, goldentest.Filled[Phase]()))
	line("phase, least", goldentest.JSON(t, Phase{}))
	line("report", goldentest.JSON(t, goldentest.Filled[Report]()))
	line("report, least", goldentest.JSON(t, Report{}))
	line("report's task, least", goldentest.JSON(t, Member{}))
	line("orders", goldentest.JSON(t, goldentest.Filled[Orders]()))
	line("orders, least", goldentest.JSON(t, Orders{Orders: []Order{}}))
	line("steward", goldentest.JSON(t, goldentest.Filled[Steward]()))
	line("steward, least", goldentest.JSON(t, Steward{}))
	line("error", goldentest.JSON(t, goldentest.Filled[Error]()))
	line("machine types", goldentest.JSON(t, goldentest.Filled[MachineTypes]()))
	line("rent", goldentest.JSON(t, goldentest.Filled[Rent]()))
	line("host names", goldentest.JSON(t, goldentest.Filled[HostNames]()))
	line("host list", goldentest.JSON(t, goldentest.Filled[HostList]()))
	line("item", goldentest.JSON(t, goldentest.Filled[Item]()))
	line("page", goldentest.JSON(t, goldentest.Filled[Page]()))
	line("commit", goldentest.JSON(t, goldentest.Filled[Commit]()))
	line("change, least", goldentest.JSON(t, Change{}))
	line("committed", goldentest.JSON(t, goldentest.Filled[Committed]()))
	line("grant", goldentest.JSON(t, goldentest.Filled[Grant]()))
	line("grant, least", goldentest.JSON(t, Grant{}))
	line("change log", goldentest.JSON(t, goldentest.Filled[ChangeLog]()))
	goldentest.Check(t, "messages.txt", out.String())
}

// The words of the protocol.
func TestGoldenWords(t *testing.T) {
	goldentest.Check(t, "words.txt", strings.Join([]string{
		"job phases: " + strings.Join([]string{Queued, Running, Done, Withdrawn}, " "),
		"shapes: " + strings.Join([]string{Batch, Standing, Ensemble}, " "),
		"ranks: " + strings.Join(Ranks(), " "),
		"task phases: " + strings.Join([]string{Fetching, Running, Flushing, Ended}, " "),
		"causes: " + strings.Join([]string{
			CauseDone, CauseHalted, CauseError, CauseNoRoom, CauseInUse, CauseUnknown,
		}, " "),
		"verbs: " + strings.Join([]string{Launch, Stop, Reap}, " "),
		"machine phases: " + strings.Join([]string{HostStarting, HostFailed}, " "),
	}, "\n")+"\n")
}
