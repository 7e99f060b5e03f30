package agent

import "slices"

// Image is a task's image on a worker.
type Image struct {
	Name    string
	SizeGB  float64
	Pulling bool // not pulled yet, as far as is known
}

// HasImage reports whether the worker has an image, as far as its tasks have shown.
func (w *Worker) HasImage(name string) bool {
	return slices.ContainsFunc(w.Images, func(image Image) bool { return image.Name == name && !image.Pulling })
}

// RecordPull notes that a task was placed whose image the worker must pull.
func (w *Worker) RecordPull(name string, sizeGB float64) {
	if !slices.ContainsFunc(w.Images, func(image Image) bool { return image.Name == name }) {
		w.Images = slices.Insert(w.Images, 0, Image{Name: name, SizeGB: sizeGB, Pulling: true})
	}
}

// RecordPullAbandoned notes that no task waits for an image any more, so the worker gives up
// pulling it.
func (w *Worker) RecordPullAbandoned(name string) {
	w.Images = slices.DeleteFunc(w.Images, func(image Image) bool { return image.Name == name && image.Pulling })
}

// RecordImageUse notes that a task with an image runs: the worker has the image, and drops those
// unused for longest when they exceed its cache.
func (w *Worker) RecordImageUse(name string, sizeGB, cacheGB float64) {
	w.Images = slices.DeleteFunc(w.Images, func(image Image) bool { return image.Name == name })
	w.Images = slices.Insert(w.Images, 0, Image{Name: name, SizeGB: sizeGB})
	totalGB := 0.0
	for i, image := range w.Images {
		if totalGB += image.SizeGB; totalGB > cacheGB && i > 0 {
			w.Images = w.Images[:i]
			return
		}
	}
}
