package intake

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/member"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

const listPageSize = 500

// maxInboxAge is the age of a job up to which a task that its shard's owner does not
// list is assumed to be in the inbox still. It affects only what operators are shown.
const maxInboxAge = time.Minute

// Backend serves operators' requests about the whole deployment. Every scheduler has
// one; it collects the state from all live schedulers.
type Backend struct {
	*Intake
	local *LocalShards
	group member.Group
	// bundle returns the version of the configuration bundle in force.
	bundle func() uint64
}

// NewBackend returns a backend that stores jobs with in, reports on this process's
// shards with local and calls the other processes of group.
func NewBackend(in *Intake, local *LocalShards, group member.Group, bundle func() uint64) *Backend {
	return &Backend{Intake: in, local: local, group: group, bundle: bundle}
}

// Cancel cancels the jobs with the given ids and returns one result per id, in the same
// order.
func (b *Backend) Cancel(ctx context.Context, ids []string) (api.CancelReply, error) {
	return api.CancelReply{Results: b.Intake.Cancel(ctx, ids)}, nil
}

// askSchedulers calls method at every live scheduler; see askPeers.
func askSchedulers[T any](ctx context.Context, b *Backend, method string, params any, take func(T)) (incomplete bool) {
	return askPeers(ctx, b, member.Scheduler, method, params, take)
}

// askPeers calls method concurrently at every live process of program and passes each
// reply to take. It reports whether a process did not answer.
func askPeers[T any](ctx context.Context, b *Backend, program member.Program, method string, params any, take func(T)) (incomplete bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range b.group.View().Peers {
		if p.Program != program || p.State == member.Dead {
			continue
		}
		wg.Go(func() {
			var reply T
			err := b.group.Call(ctx, p.ID, method, params, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				incomplete = true
				return
			}
			take(reply)
		})
	}
	wg.Wait()
	return incomplete
}

// tasks collects the tasks of the jobs by shard. Shards whose owner does not answer are
// left out.
func (b *Backend) tasks(ctx context.Context, jobs []string) map[string][]api.Task {
	byShard := map[string][]api.Task{}
	take := func(list []ShardTasks) {
		for _, s := range list {
			byShard[s.Shard] = append([]api.Task{}, s.Tasks...)
		}
	}
	askSchedulers(ctx, b, methodTasks, TasksRequest{Jobs: jobs}, take)
	take(b.local.Tasks(jobs))
	return byShard
}

// Show returns one job, or result.JobUnknown.
func (b *Backend) Show(ctx context.Context, id string) (api.Job, error) {
	row, _, err := b.readRow(ctx, id)
	if err != nil {
		return api.Job{}, err
	}
	return assembleJob(row, b.tasks(ctx, []string{id})), nil
}

// List returns the jobs of kind, or all for an empty kind.
func (b *Backend) List(ctx context.Context, kind job.Kind) (api.JobList, error) {
	list := api.JobList{Jobs: []api.Job{}}
	byShard := b.tasks(ctx, nil)
	for from := ""; ; {
		rows, err := b.tables.Scan(ctx, JobTable, from, "", listPageSize)
		if err != nil {
			return list, result.Wrap(result.Of(err), err, "list jobs")
		}
		if err := appendJobs(&list, rows, kind, byShard); err != nil {
			return list, err
		}
		if len(rows) < listPageSize {
			return list, nil
		}
		from = rows[len(rows)-1].Key.Row + "\x00"
	}
}

func appendJobs(list *api.JobList, rows []contract.Row, kind job.Kind, byShard map[string][]api.Task) error {
	for _, r := range rows {
		row, err := decodeRow(r)
		if err != nil {
			return err
		}
		if kind != "" && row.Spec.Kind != kind {
			continue
		}
		j := assembleJob(&row, byShard)
		list.Incomplete = list.Incomplete || j.Incomplete
		list.Jobs = append(list.Jobs, j)
	}
	return nil
}

// assembleJob combines a job's row with the tasks that the owners list. A task that its
// shard's owner does not list is still in the inbox, or ended so long ago that its
// details were deleted.
func assembleJob(row *Row, byShard map[string][]api.Task) api.Job {
	j := api.Job{Spec: row.Spec, Cancelled: row.Cancelled, Tasks: []api.Task{}}
	known := map[int]api.Task{}
	for _, tasks := range byShard {
		for _, t := range tasks {
			if t.Task.Job == row.Spec.ID {
				known[t.Task.Index] = t
			}
		}
	}
	for _, p := range row.Parts {
		_, responded := byShard[p.Shard]
		j.Incomplete = j.Incomplete || !responded
		for i := p.From; i < p.To; i++ {
			t, ok := known[i]
			if !ok {
				t = unlistedTask(row, p, i, responded)
			}
			j.Tasks = append(j.Tasks, t)
		}
	}
	slices.SortFunc(j.Tasks, func(a, b api.Task) int { return cmp.Compare(a.Task.Index, b.Task.Index) })
	return j
}

func unlistedTask(row *Row, p TaskRange, index int, responded bool) api.Task {
	t := api.Task{Task: job.TaskID{Job: row.Spec.ID, Index: index}, Shard: p.Shard, State: api.TaskUnknown}
	switch {
	case responded && row.Cancelled:
		t.State = api.TaskCancelled
	case responded && time.Since(time.UnixMilli(row.Submitted)) > maxInboxAge:
		t.Reason = "the task ended long ago and its details were deleted"
	case responded:
		t.State, t.Reason = api.TaskWaiting, "the task is still in the shard's inbox"
	default:
		t.Reason = "the shard's owner does not answer"
	}
	return t
}

// Workers returns the workers of all shards whose owners answer.
func (b *Backend) Workers(ctx context.Context) (api.WorkerList, error) {
	list := api.WorkerList{Workers: b.local.Workers()}
	take := func(w []api.Worker) { list.Workers = append(list.Workers, w...) }
	list.Incomplete = askSchedulers(ctx, b, methodWorkers, struct{}{}, take)
	slices.SortFunc(list.Workers, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

// Status returns the state of the deployment as this instance knows it.
func (b *Backend) Status(ctx context.Context) (api.Status, error) {
	self := b.group.Self()
	s := api.Status{Instance: self.Instance, Zone: self.Zone, BundleVersion: b.bundle(), Shards: b.local.Status(), Peers: []api.Peer{}}
	for _, p := range b.group.View().Peers {
		s.Peers = append(s.Peers, api.Peer{ID: p.ID, Zone: p.Zone, State: string(p.State)})
	}
	take := func(list []api.Shard) { s.Shards = append(s.Shards, list...) }
	s.Incomplete = askSchedulers(ctx, b, methodStatus, struct{}{}, take)
	slices.SortFunc(s.Shards, func(a, b api.Shard) int { return cmp.Compare(a.Shard, b.Shard) })
	return s, nil
}

// Explain returns the recorded events about a job, task or worker. If there are none,
// it returns the refusals that the entries have recorded for a request with that id.
// If nothing is found, the explanation is marked incomplete if a process did not
// answer; otherwise the error is result.JobUnknown.
func (b *Backend) Explain(ctx context.Context, subject string) (api.Explanation, error) {
	mine := b.local.Explain(subject)
	e := api.Explanation{Subject: subject, State: mine.State, Events: append([]api.Event{}, mine.Events...)}
	e.Incomplete = askSchedulers(ctx, b, methodExplain, ExplainRequest{Subject: subject}, func(r ExplainReply) {
		e.Events = append(e.Events, r.Events...)
		e.State = cmp.Or(e.State, r.State)
	})
	if e.State == "" && len(e.Events) == 0 {
		b.explainRequest(ctx, &e)
	}
	slices.SortStableFunc(e.Events, func(a, b api.Event) int { return cmp.Compare(b.Age, a.Age) })
	if e.State == "" && len(e.Events) == 0 && !e.Incomplete {
		return e, result.Errorf(result.JobUnknown, "no record of %s", subject)
	}
	return e, nil
}

// explainRequest adds the events that the entries have recorded about a request.
func (b *Backend) explainRequest(ctx context.Context, e *api.Explanation) {
	params := api.ExplainRequest{RequestID: e.Subject}
	incomplete := askPeers(ctx, b, member.Entry, api.MethodExplainRequest, params, func(r api.RequestEvents) {
		e.Events = append(e.Events, r.Events...)
	})
	e.Incomplete = e.Incomplete || incomplete
	if len(e.Events) > 0 {
		e.State = "refused"
	}
}
