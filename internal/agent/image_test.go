package agent

import (
	"slices"
	"testing"
)

func TestImages(t *testing.T) {
	worker := NewWorker("i-1")
	worker.RecordPull("a", 4)
	if worker.HasImage("a") {
		t.Error("an image is there before it is pulled")
	}
	worker.RecordPullAbandoned("a")
	for _, name := range []string{"a", "b", "c", "a", "d"} {
		worker.RecordImageUse(name, 4, 10)
	}
	var names []string
	for _, image := range worker.Images {
		names = append(names, image.Name)
	}
	if !slices.Equal(names, []string{"d", "a"}) {
		t.Errorf("kept %v of a cache for two", names)
	}
}
