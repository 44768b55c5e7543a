// Command skylark-load sends a bounded number of requests to entries and checks
// every answer. It exits with 1 when an answer was wrong, and with 2 when too
// few were answered.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/load"
	"skylarkport/internal/result"
)

func main() {
	entries := flag.String("entries", "http://127.0.0.1:7401", "base URLs of entries, comma-separated")
	service := flag.String("service", "lookup", "service to call")
	tenant := flag.String("tenant", "stocfa", "tenant to call as")
	class := flag.String("class", string(job.LatencyCritical), "service class: latency or batch")
	timeout := flag.Duration("timeout", time.Second, "of a request")
	count := flag.Int("count", 1000, "requests in all")
	concurrency := flag.Int("concurrency", 8, "requests in flight at most")
	pause := flag.Duration("pause", 0, "between two requests of one connection")
	body := flag.Int("body", 64, "bytes of a keyed request's body")
	keyed := flag.Bool("keyed", false, "send POST with an idempotency key instead of GET")
	seed := flag.Uint64("seed", 1, "of ids and bodies")
	least := flag.Float64("least", 0, "fraction of requests that must be answered")
	flag.Parse()

	rep := load.Run(context.Background(), load.Config{
		Entries: strings.Split(*entries, ","), Service: *service, Tenant: *tenant,
		Class: job.Class(*class), Timeout: *timeout, Count: *count, Concurrency: *concurrency,
		Pause: *pause, BodyBytes: *body, Keyed: *keyed, Seed: *seed,
	})
	rep.Print(os.Stdout, fmt.Sprintf("%s %s", *service, *class))
	if rep.Wrong() > 0 {
		os.Exit(1)
	}
	if float64(rep.Count(result.OK)) < *least*float64(*count) {
		os.Exit(2)
	}
}
