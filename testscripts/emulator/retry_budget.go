package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/retry"
)

func (v *vm) newRetryBudget() retry.Allowance {
	if v.world.defect == LocalRetryWindows {
		return v.newLocalWindow()
	}
	slackFrom := v.now().Add(retryWindow)
	if v.world.defect == UnsharedRetryBudget {
		slackFrom = time.Time{}
	}
	window := retry.NewWindow(retry.WindowOptions{
		Ratio:  retryRatio,
		Slack:  retryBurst,
		Length: retryWindow,
		VMs: func() int {
			if v.world.defect == UnsharedRetryBudget {
				return 1
			}
			return v.snapshot().FleetSize
		},
		SlackFrom: slackFrom,
		Now:       v.now,
	})
	return retry.Allowance{
		OnRequest: window.OnRequest,
		Allow:     window.Allow,
		Return:    window.Return,
		Covers:    window.Covers,
		Now:       v.now,
	}
}

// newLocalWindow returns the budget of LocalRetryWindows, which uses no slack.
func (v *vm) newLocalWindow() retry.Allowance {
	var requests, retries []time.Time
	return retry.Allowance{
		OnRequest: func() { requests = append(requests, v.now()) },
		Allow: func() bool {
			now := v.now()
			after := now.Add(-retryWindow)
			if float64(countBetween(retries, after, now)+1) > retryRatio*float64(countBetween(requests, after, now)) {
				return false
			}
			retries = append(retries, now)
			return true
		},
		Now: v.now,
	}
}
