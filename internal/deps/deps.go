//go:build deps

// Package deps pins the libraries of the project while it grows.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/subcommands"
	_ "github.com/google/uuid"
	_ "github.com/labstack/echo/v4"
	_ "github.com/oklog/run"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
