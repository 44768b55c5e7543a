package stand

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangWait is how long a member waits for the others.
const gangWait = 3 * time.Second

// gangs holds the runs of gangs, which the workers tell each other about.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun // by step and number of the run
}

// gangRun is one run of a gang.
type gangRun struct {
	number  int
	size    int
	members map[string]*Worker // by task
	over    bool
}

// join records that a member has begun. When the last one has, the gang works and ends done.
func (g *gangs) join(w *Worker, task string, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := fmt.Sprintf("%s#%d", task[:strings.LastIndex(task, ".")], r.number)
	gr := g.runs[key]
	if gr == nil {
		gr = &gangRun{number: r.number, size: r.step.Count, members: map[string]*Worker{}}
		g.runs[key] = gr
	}
	gr.members[task] = w
	switch {
	case gr.over:
		time.AfterFunc(stopTime, func() { w.endMember(task, r.number, "broken") })
	case len(gr.members) == gr.size:
		time.AfterFunc(max(0, r.restore+r.work-r.saved), func() { g.end(key, "", "done") })
	default:
		time.AfterFunc(gangWait, func() {
			g.mu.Lock()
			alone := len(gr.members) < gr.size
			g.mu.Unlock()
			if alone {
				w.endMember(task, r.number, "alone")
			}
		})
	}
}

// ended records that a member has ended otherwise than done: the others end broken once they have
// learnt of it.
func (g *gangs) ended(task string, number int) {
	key := fmt.Sprintf("%s#%d", task[:strings.LastIndex(task, ".")], number)
	time.AfterFunc(stopTime, func() { g.end(key, task, "broken") })
}

// end ends all members but one.
func (g *gangs) end(key, except, how string) {
	g.mu.Lock()
	gr := g.runs[key]
	if gr == nil || gr.over {
		g.mu.Unlock()
		return
	}
	gr.over = true
	members := make(map[string]*Worker, len(gr.members))
	for task, w := range gr.members {
		members[task] = w
	}
	g.mu.Unlock()
	for task, w := range members {
		if task != except {
			w.endMember(task, gr.number, how)
		}
	}
}

// endMember ends a run if it is at work.
func (w *Worker) endMember(task string, number int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[task]; r != nil && r.number == number {
		w.endRun(task, how)
	}
}
