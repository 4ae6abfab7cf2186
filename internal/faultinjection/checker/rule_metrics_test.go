package checker

import (
	"slices"
	"testing"
)

func TestJudge_ReportsMetricsThatDisagreeWithLog(t *testing.T) {
	// 41 requests are delivered while the second process serves. The second process made the attempts of 40 of them.
	withScrape := func(scrape Event) []Event {
		return slices.Concat(handoverLog(delivered), deliveredRequests(40), []Event{scrape})
	}
	judgeHandovers(t, map[string]handoverCase{
		"they agree":                        {withScrape(scrapeOf(41, 40, 0)), ""},
		"off by three":                      {withScrape(scrapeOf(44, 43, 3)), ""},
		"outcomes are counted twice":        {withScrape(scrapeOf(50, 40, 0)), MetricsWrong},
		"outcomes are not counted":          {withScrape(scrapeOf(30, 40, 0)), MetricsWrong},
		"attempts are not counted":          {withScrape(scrapeOf(41, 30, 0)), MetricsWrong},
		"completed requests stay in flight": {withScrape(scrapeOf(41, 40, 12)), MetricsWrong},
		"a process that is not ready counts nothing yet": {slices.Concat(deliveredRequests(40), handoverLog(delivered), []Event{
			{At: at(30), Kind: Started, Process: 3},
			{At: at(30.2), Kind: MetricsRead, Process: 3, Metrics: &Scrape{Success: map[string]int{"status": 0}}},
		}), ""},
		"a process that is not ready has not read its journal": {handoverLog(append(openRequests(20),
			Event{At: at(12), Kind: Started, Process: 3},
			Event{At: at(12.2), Kind: MetricsRead, Process: 3, Metrics: &Scrape{}},
		)...), ""},
		"a process that is ready has lost its requests": {handoverLog(append(openRequests(20),
			Event{At: at(12), Kind: Started, Process: 3},
			Event{At: at(12.1), Kind: Ready, Process: 3},
			Event{At: at(12.8), Kind: MetricsRead, Process: 3, Metrics: &Scrape{}},
		)...), MetricsWrong},
		"a process continues another's counts": {slices.Concat(deliveredRequests(40), handoverLog(delivered), []Event{
			{At: at(30), Kind: Started, Process: 3},
			{At: at(31), Kind: Ready, Process: 3},
			{At: at(33), Kind: MetricsRead, Process: 3, Metrics: &Scrape{Success: map[string]int{"status": 41}}},
		}), MetricsWrong},
	})
}
