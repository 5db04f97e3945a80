// Command rolloutdays plays days drawn from seeds on the users' bench and counts which rules they break. By default a day has
// one rollout of a bad version: durations, request rates, kinds and shares of faults, alone and beside other disruptions. With
// --good the version is good, and with --restored the store comes back from an older copy beside changes of all kinds.
//
//	GOWORK=off go -C tools run ./rolloutdays --bench BENCH --site SITE --repository DIR [--good | --restored] [--from N] [--days N] [--jobs N]
//
// DIR is a clone of the repository, in which the bench builds the system and leaves its journal entries.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
)

type options struct {
	bench, site, repository, why string
	good, restored               bool
	from                         uint64
	days, jobs                   int
}

// result is what the bench reported of a day.
type result struct {
	day
	Broken map[string]int
	Missed []string
	// Got and Allowed are the requests of the version in the first report of the exposure rule.
	Detail string
	Failed string
}

func main() {
	var o options
	flag.StringVar(&o.bench, "bench", "", "program of the users' bench")
	flag.StringVar(&o.site, "site", "", "site file")
	flag.StringVar(&o.repository, "repository", "", "clone of the repository to play")
	flag.StringVar(&o.why, "why", "days of rollouts", "reason noted in the journal")
	flag.BoolVar(&o.good, "good", false, "roll out good versions")
	flag.BoolVar(&o.restored, "restored", false, "restore the store from an older copy")
	flag.Uint64Var(&o.from, "from", 1, "first seed")
	flag.IntVar(&o.days, "days", 40, "number of days")
	flag.IntVar(&o.jobs, "jobs", 4, "days played at a time")
	onlyPrint := flag.Bool("print", false, "print the day of the first seed and play none")
	flag.Parse()
	services, err := readServices(o.site)
	if err != nil || len(services) == 0 {
		fmt.Fprintln(os.Stderr, "rolloutdays: no services in the site file:", err)
		os.Exit(2)
	}
	if *onlyPrint {
		fmt.Print(dayText(o, drawDay(o.from, services, o.good)))
		return
	}
	results := playAll(o, services)
	for i := range results {
		printResult(&results[i])
	}
	printSummary(o, results)
}

var serviceLine = regexp.MustCompile(`(?m)^\s*\{ name = "([^"]+)", servers = `)

// readServices returns the names of the services in a site file.
func readServices(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	var names []string
	for _, match := range serviceLine.FindAllStringSubmatch(string(text), -1) {
		if !slices.Contains(names, match[1]) {
			names = append(names, match[1])
		}
	}
	return names, err
}

func playAll(o options, services []string) []result {
	results := make([]result, o.days)
	slots := make(chan struct{}, o.jobs)
	var done sync.WaitGroup
	for i := range results {
		done.Add(1)
		slots <- struct{}{}
		go func() {
			defer done.Done()
			results[i] = play(o, drawDay(o.from+uint64(i), services, o.good))
			<-slots
		}()
	}
	done.Wait()
	return results
}

// dayText returns the text of a day in the format of the users' bench.
func dayText(o options, d day) string {
	if o.restored {
		return drawRestoreDay(d.Seed).text()
	}
	return d.text()
}

// play plays one day. A day that could not be played has Failed set.
func play(o options, d day) result {
	r := result{day: d}
	folder, err := os.MkdirTemp("", "rolloutdays")
	if err != nil {
		r.Failed = err.Error()
		return r
	}
	defer os.RemoveAll(folder)
	dayFile, report := filepath.Join(folder, "day.toml"), filepath.Join(folder, "report.json")
	err = os.WriteFile(dayFile, []byte(dayText(o, d)), 0o644)
	if err != nil {
		r.Failed = err.Error()
		return r
	}
	command := exec.Command(o.bench, "run", o.site, dayFile, "--seed", strconv.FormatUint(d.Seed, 10), "--why", o.why, "--report", report)
	command.Dir = o.repository
	output, err := command.CombinedOutput()
	text, readErr := os.ReadFile(report)
	if readErr != nil {
		r.Failed = fmt.Sprint(err, ": ", lastLine(string(output)))
		return r
	}
	r.read(text)
	return r
}

// read fills the result from the bench's report.
func (r *result) read(text []byte) {
	var report struct {
		Breaks map[string]int `json:"breaks"`
		Missed []any          `json:"missed"`
		First  []struct {
			Rule string `json:"rule"`
			What string `json:"what"`
		} `json:"first"`
		Fault any `json:"fault"`
	}
	err := json.Unmarshal(text, &report)
	if err != nil {
		r.Failed = err.Error()
		return
	}
	r.Broken = report.Breaks
	for _, missed := range report.Missed {
		r.Missed = append(r.Missed, fmt.Sprint(missed))
	}
	for _, first := range report.First {
		if r.Detail == "" || first.Rule == "EXPOSURE" {
			r.Detail = first.Rule + ": " + first.What
		}
	}
	if report.Fault != nil {
		r.Failed = fmt.Sprint(report.Fault)
	}
}

func (r *result) missedRollout() bool {
	return slices.ContainsFunc(r.Missed, func(missed string) bool { return strings.Contains(missed, "rollout") })
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

func printResult(r *result) {
	fmt.Printf("%d\t%s\t%s\tshare %.2f\t%.0f s\tload %.1f\tothers %d\tbroken %v\tmissed %v\t%s %s\n",
		r.Seed, r.Service, r.How, r.Share, r.DurationS, r.Load, r.Others, r.Broken, r.missedRollout(), r.Detail, r.Failed)
}

// group counts the days that have a property in common.
type group struct{ days, exposed, otherRules, missed, notPlayed int }

// printRules prints how many days broke each rule.
func printRules(results []result) {
	days := map[string]int{}
	for i := range results {
		for rule := range results[i].Broken {
			days[rule]++
		}
		if results[i].Failed != "" {
			days["not played"]++
		}
	}
	fmt.Printf("days %d, broken: %v\n", len(results), days)
}

func printSummary(o options, results []result) {
	printRules(results)
	if o.restored {
		return
	}
	for _, by := range []struct {
		name string
		key  func(*result) string
	}{
		{"all", func(*result) string { return "" }},
		{"duration", func(r *result) string { return fmt.Sprintf("%02.0f s", r.DurationS) }},
		{"how", func(r *result) string { return r.How }},
		{"share", func(r *result) string { return fmt.Sprintf("%.2f", r.Share) }},
		{"service", func(r *result) string { return r.Service }},
		{"load", func(r *result) string { return fmt.Sprintf("%.1f", r.Load) }},
		{"others", func(r *result) string { return strconv.Itoa(r.Others) }},
	} {
		groups := map[string]*group{}
		var names []string
		for i := range results {
			name := by.key(&results[i])
			if groups[name] == nil {
				groups[name] = &group{}
				names = append(names, name)
			}
			groups[name].add(&results[i])
		}
		slices.Sort(names)
		for _, name := range names {
			g := groups[name]
			fmt.Printf("%-9s %-16s days %3d  EXPOSURE %3d  end state missed %3d  other rules %3d  not played %d\n",
				by.name, name, g.days, g.exposed, g.missed, g.otherRules, g.notPlayed)
		}
	}
}

func (g *group) add(r *result) {
	g.days++
	if r.Failed != "" {
		g.notPlayed++
	}
	if r.Broken["EXPOSURE"] > 0 {
		g.exposed++
	}
	if len(r.Broken) > 1 || len(r.Broken) == 1 && r.Broken["EXPOSURE"] == 0 {
		g.otherRules++
	}
	if r.missedRollout() {
		g.missed++
	}
}
