// Package bench measures the performance of marigoldscale, compares it with
// baselines and limits, and generates the pages on capacity and measures.
package bench
