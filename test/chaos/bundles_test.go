//go:build chaos

package chaos

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/ctl"
	"skylarkport/internal/history"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
	"skylarkport/internal/standin"
)

const (
	sampleInterval = 200 * time.Millisecond
	sampleTimeout  = time.Second
	versionMetric  = "bundle_version"
)

// versionSampler records the bundle version in force of every process at regular
// intervals.
type versionSampler struct {
	cluster *cluster
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	samples []history.Version
}

// startVersionSampler accepts a first bundle, waits until every process has it in
// force, and starts sampling. A sample of version 0 then means that a process has
// no accepted bundle in force.
func startVersionSampler(s *scenario) *versionSampler {
	s.t.Helper()
	c := s.cluster
	if err := s.accept(c.nodes[0], s.propose(c.nodes[0], "first accepted")); err != nil {
		s.t.Fatal(err)
	}
	for _, n := range c.nodes {
		for _, url := range []string{n.operatorURL, n.entryURL} {
			s.waitFor("accepted bundle in force at "+url, history.MaxBundleDelay, func() bool {
				v, ok := scrapeVersion(c.ctx, url)
				return ok && v > 0
			})
		}
	}
	return startSampling(c)
}

// startSampling starts a goroutine per process that samples its bundle version.
func startSampling(c *cluster) *versionSampler {
	ctx, cancel := context.WithCancel(c.ctx)
	s := &versionSampler{cluster: c, cancel: cancel}
	for _, n := range c.nodes {
		s.wg.Go(func() { s.sampleProcess(ctx, n.id+"/scheduler", n.operatorURL) })
		s.wg.Go(func() { s.sampleProcess(ctx, n.id+"/entry", n.entryURL) })
	}
	return s
}

// stop ends the sampling and returns the samples in ascending order of time.
func (s *versionSampler) stop() []history.Version {
	s.cancel()
	s.wg.Wait()
	slices.SortStableFunc(s.samples, func(a, b history.Version) int { return int(a.At - b.At) })
	return s.samples
}

// sampleProcess records the bundle version of one process every sampleInterval until ctx ends.
// While the process does not respond, nothing is recorded.
func (s *versionSampler) sampleProcess(ctx context.Context, name, url string) {
	for ; ctx.Err() == nil; time.Sleep(sampleInterval) {
		at := s.cluster.now()
		v, ok := scrapeVersion(ctx, url)
		if !ok {
			continue
		}
		s.mu.Lock()
		s.samples = append(s.samples, history.Version{Instance: name, At: at, Version: v})
		s.mu.Unlock()
	}
}

// scrapeVersion reads the bundle version in force from the metrics of a process.
func scrapeVersion(ctx context.Context, url string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		line := lines.Text()
		if strings.HasPrefix(line, "#") || !strings.Contains(line, versionMetric) {
			continue
		}
		v, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		return uint64(v), err == nil
	}
	return 0, false
}

// propose proposes a bundle to n whose base is the current version, and returns
// the hash of the proposal.
func (s *scenario) propose(n *node, note string) string {
	s.t.Helper()
	client := ctl.NewClient(n.operatorURL, callTimeout)
	var p bundle.Proposal
	s.waitFor("proposal of a bundle", startTimeout, func() bool {
		var st bundle.Status
		if client.Get(s.ctx, api.PathBundles, nil, &st) != nil {
			return false
		}
		b := initialBundle()
		b.Base, b.Version, b.Note = st.Current.Version, st.Current.Version+1, note
		return client.Post(s.ctx, api.PathProposals, b, &p) == nil
	})
	return p.Hash
}

// accept accepts a proposal. On success it records the version and the time of
// the response.
func (s *scenario) accept(n *node, hash string) error {
	var h bundle.Head
	err := ctl.NewClient(n.operatorURL, callTimeout).Post(s.ctx, api.PathProposals+"/"+hash+"/accept", struct{}{}, &h)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.acceptances = append(s.acceptances, history.Acceptance{Version: h.Version, At: s.now()})
	}
	return err
}

// acceptDuringPartition accepts a bundle while a zone is partitioned from the
// platform, and restarts a scheduler of that zone before the partition ends.
func acceptDuringPartition(s *scenario) {
	sampler := startVersionSampler(s)
	z := s.rand.IntN(len(zones))
	partitioned := s.zoneNodes(zones[z].name)
	connected := s.zoneNodes(zones[(z+1)%len(zones)].name)[0]
	hash := s.propose(connected, "accepted during a partition")
	s.inject(standin.Fault{Kind: standin.Partition, From: zones[z].name, To: standin.PlatformZone, Duration: seconds(11)})
	if err := s.accept(connected, hash); err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	s.restartSchedulers(partitioned[:1], 0)
	time.Sleep(history.MaxBundleDelay)
	s.versions = sampler.stop()
}

// acceptConcurrently accepts two bundles with the same base version at the same
// time: one must be accepted, the other refused as conflicting or outdated.
func acceptConcurrently(s *scenario) {
	sampler := startVersionSampler(s)
	for round := range 3 {
		a, b := s.nodes[0], s.nodes[len(s.nodes)-1]
		first, second := s.propose(a, fmt.Sprintf("a%d", round)), s.propose(b, fmt.Sprintf("b%d", round))
		errs := make(chan error, 2)
		go func() { errs <- s.accept(a, first) }()
		go func() { errs <- s.accept(b, second) }()
		codes := []result.Code{result.Of(<-errs), result.Of(<-errs)}
		slices.Sort(codes)
		if codes[0] != result.OK || (codes[1] != result.BundleConflict && codes[1] != result.BundleOutdated) {
			s.t.Errorf("round %d: result codes %v, want one OK and one conflict", round, codes)
		}
	}
	time.Sleep(history.MaxBundleDelay + time.Second)
	s.versions = sampler.stop()
}
