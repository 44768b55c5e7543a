package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/workload"
)

// Load is how much of the shard's capacity is asked for, and what it has. Amounts of
// processors are in thousandths of a core.
type Load struct {
	Capacity  int64 `json:"cap"`            // of usable workers
	Committed int64 `json:"com"`            // of placed and startable tasks that do not fill
	Waiting   int64 `json:"wait,omitempty"` // of startable tasks that fill and wait
	// Rooms is what filling tasks of an image could use now without harm to those
	// that serve. The entry without a name stands for images that the shard has not
	// seen.
	Rooms    []ImageRoom `json:"rooms,omitempty"`
	Racks    []string    `json:"racks,omitempty"`
	Services []string    `json:"services,omitempty"`
}

// ImageRoom is the room for filling tasks of an image.
type ImageRoom struct {
	Image    string `json:"i,omitempty"`
	MilliCPU int64  `json:"c"`
}

// noCapacity is the share of a shard without capacity: above any other.
const noCapacity = 1e9

// Share is what is committed as a share of the capacity, with more added.
func (l *Load) Share(more int64) float64 {
	if l.Capacity == 0 {
		return noCapacity
	}
	return float64(l.Committed+more) / float64(l.Capacity)
}

// Room is what filling tasks of an image could use, less all that waits already.
func (l *Load) Room(image string) int64 {
	room := int64(0)
	for _, r := range l.Rooms {
		if r.Image == image {
			room = r.MilliCPU
			break
		}
		if r.Image == "" {
			room = r.MilliCPU
		}
	}
	return room - l.Waiting
}

// Add counts a job that is on its way to the shard.
func (l *Load) Add(j *workload.Spec) {
	st := &j.Steps[0]
	if st.Fills {
		l.Waiting += st.MilliCPU()
		return
	}
	l.Committed += st.MilliCPU()
}

const (
	// loadFor is how long a sum of the load is used. Pings and new jobs ask for it
	// much more often.
	loadFor = 100 * time.Millisecond
	// roomsFor is the same for the rooms, which cost more to sum up.
	roomsFor = 400 * time.Millisecond
	// maxRooms bounds the images that a load tells of.
	maxRooms = 32
)

// Load returns the shard's load, for the choice among shards.
func (s *Shard) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now-s.roomsAt > roomsFor && s.cfg.Others != nil {
		s.rooms, s.roomsAt = s.sumRooms(now), now
	}
	if now-s.loadAt > loadFor {
		s.loadSum, s.loadAt = s.sumLoad(), now
	}
	l := s.loadSum
	l.Rooms = s.rooms
	return l
}

func (s *Shard) sumLoad() Load {
	var l Load
	for _, h := range s.hosts {
		if !h.listed || h.Draining || h.silent > 0 {
			continue
		}
		l.Capacity += h.Capacity.MilliCPU
		if !slices.Contains(l.Racks, h.Rack) {
			l.Racks = append(l.Racks, h.Rack)
		}
		if !slices.Contains(l.Services, h.Service) {
			l.Services = append(l.Services, h.Service)
		}
	}
	for _, j := range s.jobs {
		for k := range j.tasks {
			for step := range j.spec.Steps {
				l.count(j, k, step)
			}
		}
	}
	return l
}

// count adds the tasks of a step of occurrence k.
func (l *Load) count(j *job, k, step int) {
	startable := j.active() && j.open(k, step)
	for _, t := range j.stepTasks(k, step) {
		waits := startable && t.Phase == workload.Pending
		if waits || t.Phase == workload.Placed {
			l.Committed += t.step.Committed().MilliCPU
		}
		if waits && t.step.Fills {
			l.Waiting += t.step.Needs.MilliCPU
		}
	}
}

// sumRooms sums up, per filling image, what each host could give to it.
func (s *Shard) sumRooms(now time.Duration) []ImageRoom {
	rooms := []ImageRoom{{}}
	for _, image := range s.images.filling() {
		if len(rooms) < maxRooms {
			rooms = append(rooms, ImageRoom{Image: image})
		}
	}
	for _, h := range s.hosts {
		idle := h.Capacity.MilliCPU - h.usedCPU()
		if !h.takes(now) || idle <= 0 {
			continue
		}
		heads := s.images.headrooms(h, now)
		for i := range rooms {
			most := s.images.bearableOf(rooms[i].Image, heads)
			rooms[i].MilliCPU += min(idle, int64(max(0, most)*float64(h.Capacity.MilliCPU)))
		}
	}
	return rooms
}
