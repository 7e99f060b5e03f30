package agent

import "slices"

// Image is a task image in a worker's cache.
type Image struct {
	Name    string
	SizeGB  float64
	Pulling bool // the pull is not known to have completed
}

// HasImage reports whether the worker's tasks have shown that it has pulled an image.
func (w *Worker) HasImage(name string) bool {
	return slices.ContainsFunc(w.Images, func(image Image) bool { return image.Name == name && !image.Pulling })
}

// RecordPull records that the worker starts to pull an image for a task placed on it, unless the
// image is known already.
func (w *Worker) RecordPull(name string, sizeGB float64) {
	if !slices.ContainsFunc(w.Images, func(image Image) bool { return image.Name == name }) {
		w.Images = slices.Insert(w.Images, 0, Image{Name: name, SizeGB: sizeGB, Pulling: true})
	}
}

// RecordPullAbandoned records that the worker abandons the pull of an image, as no task waits for
// it any more.
func (w *Worker) RecordPullAbandoned(name string) {
	w.Images = slices.DeleteFunc(w.Images, func(image Image) bool { return image.Name == name && image.Pulling })
}

// RecordImageUse records that a task runs with an image, so the worker has pulled it. The least
// recently used images beyond cacheGB are dropped, as the worker evicts them.
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
