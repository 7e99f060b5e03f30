package control

import (
	"context"
	"errors"
	"testing"

	"rillflow/internal/placement"
)

// apart are parts of which one owner is out of reach.
type apart struct {
	parts
	lost  string
	asked []string
}

func (p *apart) Pick(_ context.Context, node string, o placement.Offer) ([]placement.Picked, error) {
	p.asked = append(p.asked, node)
	if node == p.lost {
		return nil, errors.New("not connected")
	}
	var out []placement.Picked
	for _, m := range o.Rooms {
		out = append(out, placement.Picked{Host: m.Host, Ref: "req-1"})
	}
	return out, nil
}

// The rooms of an owner that is out of reach do not stand empty until the part map is
// without it: the leader picks for them.
func TestOwnerOutOfReach(t *testing.T) {
	r := term(t)
	p := &apart{lost: "far"}
	r.parts = p
	got := r.ask(t.Context(), map[string]*placement.Offer{"far": {Rooms: []placement.Room{{Host: "h0"}, {Host: "h1"}}}})
	if len(got) != 2 || len(p.asked) != 2 || p.asked[1] != r.set.Node {
		t.Errorf("%d picks, asked %v", len(got), p.asked)
	}
}
