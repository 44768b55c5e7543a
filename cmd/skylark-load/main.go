// Command skylark-load sends a bounded number of requests to entries and checks
// every response. It exits with status 1 if a response was wrong, and with 2 if too
// few requests succeeded.
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
	organisation := flag.String("tenant", "stocfa", "organisation to call as")
	class := flag.String("class", string(job.LatencyCritical), "service class: latency or batch")
	timeout := flag.Duration("timeout", time.Second, "timeout of a request")
	count := flag.Int("count", 1000, "total number of requests")
	concurrency := flag.Int("concurrency", 8, "maximum number of requests in flight")
	pause := flag.Duration("pause", 0, "pause after each request of a sender")
	body := flag.Int("body", 64, "size of a keyed request's body in bytes")
	keyed := flag.Bool("keyed", false, "send POST with an idempotency key instead of GET")
	seed := flag.Uint64("seed", 1, "seed for request ids and bodies")
	minFraction := flag.Float64("least", 0, "fraction of requests that must succeed")
	flag.Parse()

	report := load.Run(context.Background(), load.Config{
		Entries: strings.Split(*entries, ","), Service: *service, Organisation: *organisation,
		Class: job.Class(*class), Timeout: *timeout, Count: *count, Concurrency: *concurrency,
		Pause: *pause, BodyBytes: *body, Keyed: *keyed, Seed: *seed,
	})
	report.Print(os.Stdout, fmt.Sprintf("%s %s", *service, *class))
	if report.WrongResponses() > 0 {
		os.Exit(1)
	}
	if float64(report.Count(result.OK)) < *minFraction*float64(*count) {
		os.Exit(2)
	}
}
