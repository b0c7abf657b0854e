package queue

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// cache keeps a dehydrated state now and then, to be released later.
func (m *Machine) cache(index uint64) {
	every := uint64(m.adopt.SnapshotInterval)
	if every == 0 {
		every = DefaultEvery
	}
	isTurn := m.enqueues >= m.cachedAt+every
	// Ticks, settles and the like make records too; a queue that gets few
	// enqueues must be able to let those go.
	isLong := len(m.cached) == 0 && index%(8*every) == 0 || len(m.cached) > 0 && index >= m.cached[len(m.cached)-1].index+8*every
	if !isTurn && !isLong {
		return
	}
	m.cachedAt = m.enqueues
	m.cached = append(m.cached, cachedState{index: index, data: m.Rest(true)})
	// While an old job pins the log the list grows; every second state serves
	// nearly as well.
	if len(m.cached) > maxCached {
		kept := m.cached[:0]
		for k, state := range m.cached {
			if k%2 == 1 {
				kept = append(kept, state)
			}
		}
		m.cached = kept
	}
}

// lowest is the index of the oldest record whose payload is still needed.
func (m *Machine) lowest() (uint64, bool) {
	low, any := uint64(0), false
	if oldest, found := m.byIndex.Min(); found {
		low, any = oldest.index, true
	}
	if m.held == 0 {
		return low, any
	}
	for _, s := range m.sessions {
		for _, held := range s.held {
			if !any || held.Index < low {
				low, any = held.Index, true
			}
		}
	}
	return low, any
}

func (m *Machine) release() {
	if len(m.cached) == 0 {
		return
	}
	low, any := m.lowest()
	best := -1
	for k, state := range m.cached {
		if !any || state.index < low {
			best = k
		}
	}
	if best < 0 {
		return
	}
	m.effects.Release = &Release{Index: m.cached[best].index, Data: m.cached[best].data}
	m.cached = append([]cachedState(nil), m.cached[best+1:]...)
}

func dry(job *schema.Job) *schema.Job {
	return &schema.Job{Steps: job.GetSteps(), DelayUs: job.GetDelayUs(), StartUnixUs: job.GetStartUnixUs(), Rounds: job.GetRounds(), PeriodUs: job.GetPeriodUs()}
}

func (m *Machine) sessionKeys() []sessionKey {
	keys := make([]sessionKey, 0, len(m.sessions))
	for key := range m.sessions {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool {
		x, y := keys[a], keys[b]
		if x.gateway != y.gateway {
			return x.gateway < y.gateway
		}
		if x.boot != y.boot {
			return x.boot < y.boot
		}
		return x.client < y.client
	})
	return keys
}

// Rest encodes the state. Dehydrated, the texts are left out and the live
// jobs become the prefix count with their outlines: the commands that follow
// name tasks, so replaying them needs each job's shape though not its payload.
func (m *Machine) Rest(isDry bool) []byte {
	rest := &schema.QueueSnapshot{
		NowUs: m.now, NextJob: m.nextJob, Handover: m.hand, Settings: m.adopt, Reenqueues: m.carries, Enqueues: m.enqueues,
		Ended: m.fading,
	}
	for _, j := range m.ordered() {
		jr := &schema.JobSnapshot{
			Id: j.id, Name: j.name, Digest: j.digest, Index: j.index, StartUs: j.startUs, State: j.state,
			PendingOutcome: j.verdict, Job: j.spec, Reason: j.why, Dehydrated: j.isDry, StartedTasks: j.started, DueRounds: uint32(j.opened),
		}
		if isDry {
			jr.Job, jr.Dehydrated = dry(j.spec), true
			rest.DehydratedJobs++
		}
		for s := range j.tasks {
			for t := range j.tasks[s] {
				each := &j.tasks[s][t]
				jr.Tasks = append(jr.Tasks, &schema.TaskSnapshot{
					State: each.state, Attempt: each.attempt, Failures: each.failures, Requeues: each.circles,
					Worker: each.worker, Incarnation: each.incarnation, Handover: each.hand, Aborting: each.isBreaking, Started: each.isLaunched, LostAttempts: each.lost,
					Checkpoint: each.saved, FailedAttempt: each.failedAt,
				})
			}
		}
		rest.Jobs = append(rest.Jobs, jr)
	}
	for _, key := range m.sessionKeys() {
		s := m.sessions[key]
		sr := &schema.SessionSnapshot{Session: &schema.Session{Gateway: key.gateway, Incarnation: key.boot, Client: key.client}, Next: s.next}
		for _, number := range heldNumbers(s) {
			held := s.held[number]
			if isDry {
				e := held.Enqueue
				held = &schema.PendingEnqueueSnapshot{Index: held.Index, Enqueue: &schema.Enqueue{
					Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, StartUs: e.StartUs, Job: dry(e.Job),
				}}
			}
			sr.Pending = append(sr.Pending, held)
		}
		rest.Sessions = append(rest.Sessions, sr)
	}
	for key, at := range m.gone {
		rest.ExpiredGateways = append(rest.ExpiredGateways, &schema.ExpiredGateway{Gateway: key.gateway, Incarnation: key.boot, AtUs: at})
	}
	sort.Slice(rest.ExpiredGateways, func(a, b int) bool {
		x, y := rest.ExpiredGateways[a], rest.ExpiredGateways[b]
		return x.Gateway < y.Gateway || x.Gateway == y.Gateway && x.Incarnation < y.Incarnation
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(rest)
	if err != nil {
		panic("queue: state can't be encoded: " + err.Error())
	}
	return data
}

func heldNumbers(s *session) []uint64 {
	numbers := make([]uint64, 0, len(s.held))
	for number := range s.held {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	return numbers
}

// Restore makes a queue from a state at rest.
func Restore(name string, index uint64, data []byte) (*Machine, error) {
	m := New(name)
	if len(data) == 0 {
		return m, nil
	}
	rest := &schema.QueueSnapshot{}
	if err := proto.Unmarshal(data, rest); err != nil {
		return nil, err
	}
	m.now, m.nextJob, m.hand, m.carries, m.enqueues = rest.NowUs, rest.NextJob, rest.Handover, rest.Reenqueues, rest.Enqueues
	m.cachedAt = rest.Enqueues
	m.index = index
	if rest.Settings != nil {
		m.adopt = rest.Settings
	}
	for _, jr := range rest.Jobs {
		j := &job{
			id: jr.Id, name: jr.Name, digest: jr.Digest, index: jr.Index, startUs: jr.StartUs, state: jr.State,
			verdict: jr.PendingOutcome, spec: jr.Job, why: jr.Reason, isDry: jr.Dehydrated, started: jr.StartedTasks,
		}
		j.expand()
		j.restoreTasks(jr)
		m.jobs[j.id], m.names[j.name] = j, j
		m.byIndex.ReplaceOrInsert(j)
		if j.state != schema.JobState_JOB_STOPPING && j.opened < j.rounds() {
			m.byStart.ReplaceOrInsert(j)
		}
	}
	for _, ended := range rest.Ended {
		m.ended[ended.Name] = ended
		m.fading = append(m.fading, ended)
	}
	for _, gone := range rest.ExpiredGateways {
		m.gone[bootKey{gone.Gateway, gone.Incarnation}] = gone.AtUs
	}
	for _, sr := range rest.Sessions {
		s := &session{next: sr.Next, held: map[uint64]*schema.PendingEnqueueSnapshot{}}
		for _, held := range sr.Pending {
			s.held[held.Enqueue.Number] = held
			m.held++
		}
		m.sessions[keyOf(sr.Session)] = s
	}
	return m, nil
}

// restoreTasks makes the rounds that had opened: only their tasks are at rest.
func (j *job) restoreTasks(jr *schema.JobSnapshot) {
	for j.opened < int(jr.DueRounds) {
		j.makeRound()
	}
	k := 0
	for s := range j.tasks {
		for t := range j.tasks[s] {
			tr := jr.Tasks[k]
			k++
			j.tasks[s][t] = task{
				state: tr.State, attempt: tr.Attempt, failures: tr.Failures, failedAt: tr.FailedAttempt, circles: tr.Requeues,
				worker: tr.Worker, incarnation: tr.Incarnation, hand: tr.Handover, isBreaking: tr.Aborting, isLaunched: tr.Started, lost: tr.LostAttempts,
				saved: tr.Checkpoint,
			}
			j.failures[s] += tr.Failures
			switch tr.State {
			case schema.TaskState_TASK_DONE:
				if j.left[s]--; j.left[s] == 0 {
					j.unfinished--
				}
			case schema.TaskState_TASK_CHECKED_OUT:
				j.out[s]++
				j.outs++
			}
		}
	}
}
