package stand

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/strict"
)

const (
	// probeEnv makes a test binary a process that probes the URL in it.
	probeEnv = "MARIGOLDSCALE_TEST_PROBE"
	// probeTimeout is how long a probe may take.
	probeTimeout = time.Second
	// probeInterval is the time between two probes.
	probeInterval = 100 * time.Millisecond
)

// ProbeResult is what probes of readiness got.
type ProbeResult struct {
	Sent, Ready int
	Slowest     time.Duration
}

// RunProber probes until standard input ends, prints the result and exits, if StartProbes
// has started the process. It is meant for TestMain.
func RunProber() {
	url := os.Getenv(probeEnv)
	if url == "" {
		return
	}
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // an error ends it too
		close(ended)
	}()
	client := strict.NewClient(&http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}})
	var r ProbeResult
	for {
		r.Sent++
		began := time.Now()
		if response, err := client.Get(url); err == nil {
			_ = response.Body.Close() // only the status counts
			if response.StatusCode == http.StatusOK {
				r.Ready++
			}
		}
		r.Slowest = max(r.Slowest, time.Since(began))
		select {
		case <-ended:
			fmt.Println(r.Sent, r.Ready, int64(r.Slowest))
			os.Exit(0)
		case <-time.After(probeInterval):
		}
	}
}

// StartProbes probes a URL from a process of its own, which runs this test binary, until
// the function that it returns is called. In a process that misbehaving callers keep busy,
// probes would wait for these.
func StartProbes(url string) (stop func() (ProbeResult, error), err error) {
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), probeEnv+"="+url, "GOMAXPROCS=1")
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("open the input of the prober: %w", err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start the prober: %w", err)
	}
	return func() (ProbeResult, error) {
		_ = input.Close() // ends the process
		var r ProbeResult
		if err := command.Wait(); err != nil {
			return r, fmt.Errorf("wait for the prober: %w", err)
		}
		if _, err := fmt.Sscan(out.String(), &r.Sent, &r.Ready, (*int64)(&r.Slowest)); err != nil {
			return r, fmt.Errorf("read the result of the prober %q: %w", out.String(), err)
		}
		return r, nil
	}, nil
}
