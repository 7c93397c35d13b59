package agent

import "rackspur/dispatch"

// Status is what the operators' port tells of an agent.
type Status struct {
	Target      string    `json:"target"`
	Domain      string    `json:"domain"`
	Address     string    `json:"address"`
	Incarnation string    `json:"incarnation"`
	Version     uint64    `json:"version"`
	Leaving     bool      `json:"leaving"`
	Load        loadView  `json:"load"`
	Ledger      sizeView  `json:"ledger"`
	Links       []string  `json:"links"`
	Counts      countView `json:"counts"`
}

// Status returns the present state.
func (a *Agent) Status() Status {
	load := a.node.load()
	st := Status{
		Target:      a.settings.Target,
		Domain:      a.settings.Domain,
		Address:     a.settings.Address(),
		Incarnation: a.node.incarnation.String(),
		Version:     a.node.config.Version(),
		Leaving:     load.GetLeaving(),
		Load:        loadView{Slots: load.GetSlots(), Running: load.GetRunning(), Waiting: load.GetWaiting(), Pace: float64(load.GetPace()) / 1000},
	}
	a.node.mu.Lock()
	st.Ledger.Submissions, st.Ledger.Bytes = a.node.home.Ledger().Size()
	st.Counts = countView{Home: a.node.home.Counts, Gate: a.node.gate.Counts}
	a.node.mu.Unlock()
	a.link.mu.Lock()
	for l := range a.link.links {
		st.Links = append(st.Links, l.entry)
	}
	a.link.mu.Unlock()
	return st
}

type loadView struct {
	Slots   uint32  `json:"slots"`
	Running uint32  `json:"running"`
	Waiting uint32  `json:"waiting"`
	Pace    float64 `json:"pace"`
}

type sizeView struct {
	Submissions int `json:"submissions"`
	Bytes       int `json:"bytes"`
}

type countView struct {
	Home dispatch.HomeCounts `json:"home"`
	Gate dispatch.GateCounts `json:"gate"`
}
