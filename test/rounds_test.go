package test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"rackspur/internal/standin"
	"rackspur/load"
	"rackspur/policy"
)

// BenchmarkRounds runs each policy under load, with the latencies of the users'
// network, and prints a row of docs/MEASUREMENT.md for each run:
//
//	go test ./test -run xxx -bench Rounds -benchtime 1x -timeout 2h
//
// The environment selects the runs; each variable is a comma-separated list.
const (
	// envScenarios names shipped scenarios, envPolicies policy sets or "built-in".
	envScenarios = "RACKSPUR_ROUNDS_SCENARIOS"
	envPolicies  = "RACKSPUR_ROUNDS_POLICIES"
	envLoads     = "RACKSPUR_ROUNDS_LOADS"
	envFaults    = "RACKSPUR_ROUNDS_FAULTS"
	envBursts    = "RACKSPUR_ROUNDS_BURSTS"
	envDuration  = "RACKSPUR_ROUNDS_DURATION"
	// envBinary is the path of another build of the program, such as an earlier version.
	envBinary = "RACKSPUR_ROUNDS_BINARY"
)

// Size and latencies of the cluster.
const (
	roundAgents = 11
	roundSlots  = 8
	// betweenDomains and toClients are one-way latencies.
	betweenDomains = time.Millisecond
	toClients      = 3 * time.Millisecond
)

func envList(name, def string) []string {
	if v := os.Getenv(name); v != "" {
		return strings.Split(v, ",")
	}
	return strings.Split(def, ",")
}

func BenchmarkRounds(b *testing.B) {
	all := "built-in," + strings.Join(policy.Names(), ",")
	fmt.Println("| scenario | policy | load | fault | ratio mean | p50 | p99 | p99.9 | central mean | central p99 | done % | offered % | refused % | failed | refused ms p99 | messages/task | wasted % | wrong |")
	for _, scenario := range envList(envScenarios, "ghanta,acquirer") {
		for _, percent := range envList(envLoads, "50,80,95,120") {
			for _, fault := range envList(envFaults, "none") {
				for _, p := range envList(envPolicies, all) {
					b.Run(strings.Join([]string{scenario, p, percent, fault}, "/"), func(b *testing.B) {
						for b.Loop() {
							runRound(b, scenario, p, percent, fault)
						}
					})
				}
			}
		}
	}
}

// roundFaults are injected after a third of a run.
var roundFaults = map[string]func(c *cluster){
	"none":   func(*cluster) {},
	"killed": func(c *cluster) { c.agents[3].kill() },
	"slow":   func(c *cluster) { c.targetFaults(3, standin.TargetFaults{Slow: 1000}) },
	"cut": func(c *cluster) {
		for i, a := range c.agents {
			if i%len(domains) == 2 {
				a.proxy.set(faults{CutUp: true, CutDown: true})
			}
		}
	},
	"store": func(c *cluster) { c.platformFaults(standin.PlatformFaults{Down: true}) },
}

func runRound(b *testing.B, scenario, policyName, percent, fault string) {
	if other := os.Getenv(envBinary); other != "" {
		defer func(own string) { binary = own }(binary)
		binary = other
	}
	c := newCluster(b, shape{entries: 2, agents: roundAgents, slots: roundSlots, proxies: true, declaration: roundDeclaration(policyName)})
	defer c.end()
	for _, a := range c.agents {
		a.proxy.set(faults{Delay: betweenDomains})
	}
	for _, e := range c.entries {
		e.proxy.set(faults{Delay: toClients})
	}
	duration := envList(envDuration, "8s")[0]
	if fault != "none" {
		whole, err := time.ParseDuration(duration)
		if err != nil {
			b.Fatal(err)
		}
		timer := time.AfterFunc(whole/3, func() { roundFaults[fault](c) })
		defer timer.Stop()
	}
	before := c.messages()
	r := command(b, "", "load", scenario, "--load", percent, "--bursts", envList(envBursts, "off")[0], "--duration", duration, "--output", "json",
		"--entry", c.entries[0].url+","+c.entries[1].url, "--tokens", tokenA+","+tokenB)
	if r.code != 0 {
		b.Fatal(r.errOut)
	}
	var report load.Report
	if err := json.Unmarshal([]byte(r.out), &report); err != nil {
		b.Fatal(err)
	}
	after := c.messages()
	used := after.minus(before)
	if testing.Verbose() {
		fmt.Printf("outcomes %v\nmessages %v\n", report.Kinds[0].Outcomes, used.detail)
	}
	printRow(scenario, policyName, percent, fault, &report, used)
}

// roundDeclaration declares the kinds of both scenarios with a policy set.
func roundDeclaration(policyName string) string {
	base := ""
	if policyName != "built-in" {
		base = "policies: {base: " + policyName + "}\n"
	}
	return fmt.Sprintf(`members:
  - {name: ghanta, secrets: ['%s']}
  - {name: acquirer, secrets: ['%s']}
kinds:
  - {name: clash-check, repeatable: true, expect_ms: 100, lease_ms: 2000, deadline_ms: 3000}
  - {name: room-swap, expect_ms: 75, lease_ms: 2000, deadline_ms: 3000}
  - {name: reshuffle, expect_ms: 150, lease_ms: 3000, deadline_ms: 8000}
  - {name: authorisation, expect_ms: 125, lease_ms: 2000, deadline_ms: 2000}
  - {name: refund, expect_ms: 165, lease_ms: 2000, deadline_ms: 5000}
  - {name: balance, repeatable: true, expect_ms: 125, lease_ms: 2000, deadline_ms: 5000}
limits: {max_wait_ms: 1000}
%s`, hashA, hashB, base)
}

// counts are totals over the processes of a cluster.
type counts struct {
	messages, wasted, started float64
	// detail holds the messages.* and slots.* metrics by name.
	detail map[string]float64
}

func (x counts) minus(y counts) counts {
	detail := map[string]float64{}
	for name, n := range x.detail {
		if more := n - y.detail[name]; more != 0 {
			detail[name] = more
		}
	}
	return counts{x.messages - y.messages, x.wasted - y.wasted, x.started - y.started, detail}
}

// messages adds up the metrics of all processes that answer.
func (c *cluster) messages() counts {
	sum := counts{detail: map[string]float64{}}
	for _, n := range append(append([]*node{}, c.entries...), c.agents...) {
		var m map[string]map[string]float64
		if !getJSON(n.ops+"/metrics", &m) {
			continue
		}
		sum.messages += m["messages.sent"]["count"]
		sum.wasted += m["messages.wasted"]["count"]
		sum.started += m["tasks.started"]["count"]
		for name, values := range m {
			if strings.HasPrefix(name, "messages.") || strings.HasPrefix(name, "slots.") {
				sum.detail[name] += values["count"] + values["value"]
			}
		}
	}
	return sum
}

func printRow(scenario, policyName, percent, fault string, r *load.Report, m counts) {
	k := r.Kinds[0] // all kinds together come first
	failed, refused := 0, 0
	for outcome, n := range k.Outcomes {
		switch {
		case strings.HasPrefix(outcome, "not-run"):
			refused += n
		case !strings.HasPrefix(outcome, "complete"):
			failed += n
		}
	}
	fmt.Printf("| %s | %s | %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %.1f | %.1f | %d | %.1f | %.2f | %.2f | %d |\n",
		scenario, policyName, percent, fault, k.Ratio.Mean, k.Ratio.P50, k.Ratio.P99, k.Ratio.P999, r.Reference.Mean, r.Reference.P99,
		100*r.Done, 100*r.Offered, 100*float64(refused)/float64(k.Sent), failed, k.RefusedMS.P99,
		m.messages/m.started, 100*m.wasted/m.messages, r.Wrong)
}

// end ends all processes of a cluster before the test does.
func (c *cluster) end() {
	for _, n := range append(append(append([]*node{c.platform}, c.entries...), c.agents...), c.targets...) {
		n.end()
	}
}
