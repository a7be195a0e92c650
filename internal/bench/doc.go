// Package bench measures marigoldscale against baselines and bounds.
package bench
