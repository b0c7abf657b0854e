package ablation

import "sparnotch/internal/mutation"

// Ablations holds one ablation for each mechanism that can be removed, ordered by stage.
var Ablations = []*Ablation{
	{"headroom", "capacity kept free for what more urgent queues lately used", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tmayUseHeadroom := p.class == boosted || req.isShort ||", New: "\tmayUseHeadroom := true || p.class == boosted || req.isShort ||"},
	}},
	{"preemption", "urgent work preempts less urgent work", []mutation.Edit{
		{Package: "internal/scheduler", Old: "return s.fleetSetting(\"preempt\") != 0 &&", New: "return false && s.fleetSetting(\"preempt\") != 0 &&"},
	}},
	{"feasibility", "work that can meet its target goes before work that cannot", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tallowed := s.allowedDuration(q, t)\n\tif allowed == 0 {\n", New: "\tallowed := s.allowedDuration(q, t)\n\tif allowed >= 0 {\n"},
	}},
	{"nearly-done", "late work of which little is left goes with what is on time", []mutation.Edit{
		{Package: "internal/scheduler", Old: "if float64(remaining) <= nearlyDoneRatio*", New: "if false && float64(remaining) <= nearlyDoneRatio*"},
	}},
	{"least-work", "jobs with least work left go first", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\treturn cmp.Or(cmp.Compare(a.workRank, b.workRank), cmp.Compare(a.key.job", New: "\treturn cmp.Or(cmp.Compare(a.key.job"},
	}},
	{"infeasible-budget", "infeasible work leaves part of the capacity free", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tcase infeasible:\n\t\tp.remainingCores = infeasibleBudget(candidates)\n", New: "\tcase infeasible:\n"},
	}},
	{"ejection", "workers that fail more than others are ejected", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tif w.isOnProbation {\n\t\treturn w.suspicion >= probationSuspicion\n\t}\n\treturn w.suspicion >= ejectionSuspicion", New: "\treturn false"},
	}},
	{"running-credit", "runs that go on count for their worker", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\t\ts.creditRunning(now, w)\n", New: ""},
	}},
	{"slow-ejection", "workers that make too little progress are ejected", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tw.progress = progressMeter{lastProgressAt: now}\n\tif now < w.ejectedUntil {", New: "\tw.progress = progressMeter{lastProgressAt: now}\n\tif true || now < w.ejectedUntil {"},
	}},
	{"slowdown", "slow workers are used last", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tslowdownPenalty = 100 ", New: "\tslowdownPenalty = 0 "},
	}},
	{"runtime-model", "run times are predicted from past runs", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tif model == nil {\n\t\tif len(s.runtimeModels) > maxRuntimeModels {", New: "\tif true {\n\t\treturn\n\t}\n\tif model == nil {\n\t\tif len(s.runtimeModels) > maxRuntimeModels {"},
	}},
	{"claims", "workers are kept free for wide work that has waited", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tif reserved == 0 && !p.claimedPools[pool]", New: "\tif false && reserved == 0 && !p.claimedPools[pool]"},
	}},
	{"data-rack", "the rack that holds the data is preferred", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tif req.spec.DataRack != \"\" && w.rack == req.spec.DataRack {\n\t\tscore +=", New: "\tif false && req.spec.DataRack != \"\" && w.rack == req.spec.DataRack {\n\t\tscore +="},
	}},
	{"spreading", "workers with most free capacity are preferred", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tscore := s.weights.room*req.freeShare(c) - c.penalty", New: "\tscore := 0*s.weights.room*req.freeShare(c) - c.penalty"},
	}},
	{"rack-spreading", "a step spreads over racks", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\t\treturn -s.weights.rack *", New: "\t\treturn -0 * s.weights.rack *"},
	}},
	{"accelerators", "accelerators are kept for work that needs them", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tif req.need.accelerators == 0 && w.accelerators > 0 {", New: "\tif false && req.need.accelerators == 0 && w.accelerators > 0 {"},
	}},
	{"inspection-pause", "ends that may wait are seen together", []mutation.Edit{
		{Package: "internal/scheduler", Old: "\tif s.starvedPools[w.pool] {", New: "\tif true || s.starvedPools[w.pool] {"},
	}},
	{"idle-inspection", "idle workers are not inspected", []mutation.Edit{
		{Package: "internal/agent", Old: "\treturn now-w.lastHeard > a.heartbeatTimeout()", New: "\treturn true"},
	}},
	{"deposed-leader", "a leader that was voted out is not handed its queues at once", []mutation.Edit{
		{Package: "internal/replica", Old: "\treturn id == r.deposedLeader && now-r.leadingSince", New: "\treturn false && id == r.deposedLeader && now-r.leadingSince"},
	}},
	{"leases-follow", "worker leases follow the queues of a deposed leader", []mutation.Edit{
		{Package: "internal/controller", Old: "\t\tcandidates[k].isDeposed = hasSuccessor &&", New: "\t\tcandidates[k].isDeposed = false && hasSuccessor &&"},
	}},
}
