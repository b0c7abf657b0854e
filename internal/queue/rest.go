package queue

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// cache keeps a dehydrated state now and then, to be released later.
func (m *Machine) cache(index uint64) {
	every := uint64(m.adopt.Every)
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
	return &schema.Job{Steps: job.GetSteps(), DelayUs: job.GetDelayUs(), StartWallUs: job.GetStartWallUs(), Rounds: job.GetRounds(), EveryUs: job.GetEveryUs()}
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
	rest := &schema.QueueRest{
		NowUs: m.now, NextJob: m.nextJob, Hand: m.hand, Adopt: m.adopt, Carries: m.carries, Enqueues: m.enqueues,
		Ended: m.fading,
	}
	for _, j := range m.ordered() {
		jr := &schema.JobRest{
			Id: j.id, Name: j.name, Digest: j.digest, Index: j.index, StartUs: j.startUs, State: j.state,
			Verdict: j.verdict, Job: j.spec, Why: j.why, Dry: j.isDry, Started: j.started, Opened: uint32(j.opened),
		}
		if isDry {
			jr.Job, jr.Dry = dry(j.spec), true
			rest.Prefix++
		}
		for s := range j.tasks {
			for t := range j.tasks[s] {
				each := &j.tasks[s][t]
				jr.Tasks = append(jr.Tasks, &schema.TaskRest{
					State: each.state, Attempt: each.attempt, Failures: each.failures, Circles: each.circles,
					Worker: each.worker, Incarnation: each.incarnation, Hand: each.hand, Breaking: each.isBreaking, Launched: each.isLaunched, Lost: each.lost,
					Saved: each.saved, FailedAttempt: each.failedAt,
				})
			}
		}
		rest.Jobs = append(rest.Jobs, jr)
	}
	for _, key := range m.sessionKeys() {
		s := m.sessions[key]
		sr := &schema.SessionRest{Session: &schema.Session{Gateway: key.gateway, Boot: key.boot, Client: key.client}, Next: s.next}
		for _, number := range heldNumbers(s) {
			held := s.held[number]
			if isDry {
				e := held.Enqueue
				held = &schema.HeldRest{Index: held.Index, Enqueue: &schema.Enqueue{
					Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, StartUs: e.StartUs, Job: dry(e.Job),
				}}
			}
			sr.Held = append(sr.Held, held)
		}
		rest.Sessions = append(rest.Sessions, sr)
	}
	for key, at := range m.gone {
		rest.Gone = append(rest.Gone, &schema.Gone{Gateway: key.gateway, Boot: key.boot, AtUs: at})
	}
	sort.Slice(rest.Gone, func(a, b int) bool {
		x, y := rest.Gone[a], rest.Gone[b]
		return x.Gateway < y.Gateway || x.Gateway == y.Gateway && x.Boot < y.Boot
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
	rest := &schema.QueueRest{}
	if err := proto.Unmarshal(data, rest); err != nil {
		return nil, err
	}
	m.now, m.nextJob, m.hand, m.carries, m.enqueues = rest.NowUs, rest.NextJob, rest.Hand, rest.Carries, rest.Enqueues
	m.cachedAt = rest.Enqueues
	m.index = index
	if rest.Adopt != nil {
		m.adopt = rest.Adopt
	}
	for _, jr := range rest.Jobs {
		j := &job{
			id: jr.Id, name: jr.Name, digest: jr.Digest, index: jr.Index, startUs: jr.StartUs, state: jr.State,
			verdict: jr.Verdict, spec: jr.Job, why: jr.Why, isDry: jr.Dry, started: jr.Started,
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
	for _, gone := range rest.Gone {
		m.gone[bootKey{gone.Gateway, gone.Boot}] = gone.AtUs
	}
	for _, sr := range rest.Sessions {
		s := &session{next: sr.Next, held: map[uint64]*schema.HeldRest{}}
		for _, held := range sr.Held {
			s.held[held.Enqueue.Number] = held
			m.held++
		}
		m.sessions[keyOf(sr.Session)] = s
	}
	return m, nil
}

// restoreTasks makes the rounds that had opened: only their tasks are at rest.
func (j *job) restoreTasks(jr *schema.JobRest) {
	for j.opened < int(jr.Opened) {
		j.makeRound()
	}
	k := 0
	for s := range j.tasks {
		for t := range j.tasks[s] {
			tr := jr.Tasks[k]
			k++
			j.tasks[s][t] = task{
				state: tr.State, attempt: tr.Attempt, failures: tr.Failures, failedAt: tr.FailedAttempt, circles: tr.Circles,
				worker: tr.Worker, incarnation: tr.Incarnation, hand: tr.Hand, isBreaking: tr.Breaking, isLaunched: tr.Launched, lost: tr.Lost,
				saved: tr.Saved,
			}
			j.failures[s] += tr.Failures
			switch tr.State {
			case schema.TaskState_TASK_DONE:
				if j.left[s]--; j.left[s] == 0 {
					j.unfinished--
				}
			case schema.TaskState_TASK_OUT:
				j.out[s]++
				j.outs++
			}
		}
	}
}
