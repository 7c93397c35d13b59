package peer

import (
	"math"
	"time"

	"rackspur/evacuation"
	"rackspur/gate"
	"rackspur/job"
	"rackspur/peer/peerpb"
)

func toResources(r job.Resources) *peerpb.Resources {
	return &peerpb.Resources{Cpu: int32(r.CPU), Memory: int32(r.Memory), Gpu: int32(r.GPU)}
}

func fromResources(r *peerpb.Resources) job.Resources {
	return job.Resources{CPU: int(r.GetCpu()), Memory: int(r.GetMemory()), GPU: int(r.GetGpu())}
}

func toRunName(n job.RunName) *peerpb.RunName {
	return &peerpb.RunName{Job: string(n.Job), Time: uint32(n.JobRun), Step: uint32(n.Step), Index: uint32(n.Index), Run: uint32(n.Run)}
}

func fromRunName(n *peerpb.RunName) job.RunName {
	return job.RunName{
		TaskName: job.TaskName{Job: job.ID(n.GetJob()), JobRun: int(n.GetTime()), Step: int(n.GetStep()), Index: int(n.GetIndex())},
		Run:      int(n.GetRun()),
	}
}

func toEvacuations(n evacuation.News) *peerpb.Evacuations {
	return &peerpb.Evacuations{Domains: n.Domains, Version: n.Version, AsOf: uint64(n.AsOf.Microseconds())}
}

func fromEvacuations(n *peerpb.Evacuations) evacuation.News {
	return evacuation.News{Domains: n.GetDomains(), Version: n.GetVersion(), AsOf: time.Duration(n.GetAsOf()) * time.Microsecond}
}

func toOwnerFrame(f gate.OwnerFrame) *peerpb.OwnerFrame {
	out := &peerpb.OwnerFrame{Echo: uint64(f.Echo.Microseconds()), KeptEcho: uint64(f.DurableEcho.Microseconds()), Sequence: f.Sequence, Adopt: f.Adopt, Evacuations: toEvacuations(f.Evacuations), Waiting: toUint32s(f.Waiting)}
	for _, s := range f.Starts {
		out.Starts = append(out.Starts, &peerpb.StartOrder{
			Name: toRunName(s.Name), Spec: s.Spec, Need: toResources(s.Need),
			EstimateMs: uint32(s.Estimate.Milliseconds()), Rank: s.Rank, Checkpoint: s.Checkpoint, BestEffort: s.BestEffort, Alone: s.Alone,
		})
	}
	for _, n := range f.Stops {
		out.Stops = append(out.Stops, toRunName(n))
	}
	for _, v := range f.Verdicts {
		out.Verdicts = append(out.Verdicts, &peerpb.Verdict{Name: toRunName(v.Name), Kind: peerpb.Verdict_Kind(v.Kind), Need: toResources(v.Need), BestEffort: v.BestEffort})
	}
	return out
}

func fromOwnerFrame(f *peerpb.OwnerFrame) gate.OwnerFrame {
	out := gate.OwnerFrame{Echo: time.Duration(f.GetEcho()) * time.Microsecond, DurableEcho: time.Duration(f.GetKeptEcho()) * time.Microsecond, Sequence: f.GetSequence(), Adopt: f.GetAdopt(), Evacuations: fromEvacuations(f.GetEvacuations()), Waiting: fromUint32s(f.GetWaiting())}
	for _, s := range f.GetStarts() {
		out.Starts = append(out.Starts, gate.Order{
			Name: fromRunName(s.GetName()), Spec: s.GetSpec(), Need: fromResources(s.GetNeed()),
			Estimate: time.Duration(s.GetEstimateMs()) * time.Millisecond, Rank: s.GetRank(), Checkpoint: s.GetCheckpoint(), BestEffort: s.GetBestEffort(), Alone: s.GetAlone(),
		})
	}
	for _, n := range f.GetStops() {
		out.Stops = append(out.Stops, fromRunName(n))
	}
	for _, v := range f.GetVerdicts() {
		out.Verdicts = append(out.Verdicts, gate.Verdict{Name: fromRunName(v.GetName()), Kind: gate.VerdictKind(v.GetKind()), Need: fromResources(v.GetNeed()), BestEffort: v.GetBestEffort()})
	}
	return out
}

// toUint32s converts amounts of work; values out of range become the nearest in range.
func toUint32s(all []int) []uint32 {
	var out []uint32
	for _, n := range all {
		out = append(out, uint32(min(max(0, n), math.MaxUint32)))
	}
	return out
}

func fromUint32s(all []uint32) []int {
	var out []int
	for _, n := range all {
		out = append(out, int(n))
	}
	return out
}

// endOffset is the difference between the wire value and the EndKind of the same end.
const endOffset = int(peerpb.RunState_DONE) - int(gate.EndDone)

func toGateFrame(f gate.Frame) *peerpb.GateFrame {
	out := &peerpb.GateFrame{
		Clock: uint64(f.Clock.Microseconds()), Received: f.Received, Inventory: f.Inventory, Adopted: f.Adopted,
		Report: &peerpb.Report{
			Executor: f.Report.TargetID, Service: f.Report.Service, Capacity: toResources(f.Report.Capacity),
			Free: toResources(f.Report.Free), Queued: toResources(f.Report.Queued), Labels: f.Report.Labels,
			Open: f.Report.Open, Slowness: uint32(f.Report.Slowness * thousand), Suspect: f.Report.Suspect, Evacuated: f.Report.Evacuated,
			MedianSlowness: uint32(f.Report.MedianSlowness * thousand), OthersWaiting: toUint32s(f.Report.OthersWaiting),
			LeavingMs: uint32(f.Report.Leaving.Milliseconds()), ColdMs: uint32(f.Report.Cold.Milliseconds()),
		},
	}
	for _, s := range f.States {
		out.States = append(out.States, toRunState(s))
	}
	return out
}

// thousand scales ratios to integers on the wire.
const thousand = 1000

func toRunState(s gate.RunState) *peerpb.RunState {
	kind := peerpb.RunState_UNSPECIFIED
	switch {
	case s.End != 0:
		kind = peerpb.RunState_Kind(int(s.End) + endOffset)
	case s.Running:
		kind = peerpb.RunState_RUNNING
	case s.Queued:
		kind = peerpb.RunState_QUEUED
	}
	return &peerpb.RunState{Name: toRunName(s.Name), Kind: kind, Checkpoint: s.Checkpoint, RanMs: uint32(s.Ran.Milliseconds()), Reason: s.Reason}
}

func fromGateFrame(f *peerpb.GateFrame) gate.Frame {
	r := f.GetReport()
	out := gate.Frame{
		Clock: time.Duration(f.GetClock()) * time.Microsecond, Received: f.GetReceived(), Inventory: f.GetInventory(), Adopted: f.GetAdopted(),
		Report: gate.Report{
			TargetID: r.GetExecutor(), Service: r.GetService(), Capacity: fromResources(r.GetCapacity()),
			Free: fromResources(r.GetFree()), Queued: fromResources(r.GetQueued()), Labels: r.GetLabels(),
			Open: r.GetOpen(), Slowness: float64(r.GetSlowness()) / thousand, Suspect: r.GetSuspect(), Evacuated: r.GetEvacuated(),
			MedianSlowness: float64(r.GetMedianSlowness()) / thousand, OthersWaiting: fromUint32s(r.GetOthersWaiting()),
			Leaving: time.Duration(r.GetLeavingMs()) * time.Millisecond, Cold: time.Duration(r.GetColdMs()) * time.Millisecond,
		},
	}
	for _, s := range f.GetStates() {
		out.States = append(out.States, fromRunState(s))
	}
	return out
}

func fromRunState(s *peerpb.RunState) gate.RunState {
	out := gate.RunState{
		Name: fromRunName(s.GetName()), Checkpoint: s.GetCheckpoint(),
		Ran: time.Duration(s.GetRanMs()) * time.Millisecond, Reason: s.GetReason(),
	}
	switch kind := s.GetKind(); {
	case kind >= peerpb.RunState_DONE:
		out.End = gate.EndKind(int(kind) - endOffset)
	case kind == peerpb.RunState_RUNNING:
		out.Running = true
	case kind == peerpb.RunState_QUEUED:
		out.Queued = true
	}
	return out
}
