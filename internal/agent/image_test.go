package agent

import (
	"slices"
	"testing"
)

func TestImageCache(t *testing.T) {
	worker := NewWorker("i-1")
	worker.RecordPull("a", 4)
	if worker.HasImage("a") {
		t.Error("HasImage is true before the image is pulled")
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
		t.Errorf("a cache for two images holds %v, want [d a]", names)
	}
}
