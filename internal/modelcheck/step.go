package modelcheck

import (
	"fmt"
	"hash/fnv"
	"strings"

	"google.golang.org/protobuf/proto"
)

// Step is one decision of the scheduler, as text: a letter for the kind of step, and its
// arguments. Machines and operators are given as digits. Messages are identified by a hash of
// their content and stores by their IDs, so that a step keeps its meaning when other steps are
// removed from the schedule.
//
//	dKEY  a message is delivered      uKEY  it is delivered, and stays in flight
//	xKEY  it is lost
//	tM    M's election timeout passes
//	bM    M's next heartbeat is due   sM    M's current write becomes durable
//	cM    M restarts; its unsynced writes are lost or cut short
//	kM    M restarts just after its current write became durable, before it learns of that
//	wM    M loses its disk            fM    M compacts its log up to a snapshot
//	pOM   operator O asks M to replace the configuration, or repeats its request
//	rOM   operator O reads at M       gO    operator O gives up waiting
//	lMID  leader M adds store ID as a learner
//	vMID  M promotes it to a voter    oMID  M removes it
//	hMID  M transfers the leadership to it
//	zNN   NN ms pass on all machines
//	nM    M appends more entries than a learner may lack when it is promoted
//	qMN.. all messages are delivered and all writes synced among these machines (q alone:
//	      among all machines) until none are left; messages to and from others are lost
type Step string

// stepKind is the letter that a step starts with.
type stepKind byte

const (
	stepDeliver            stepKind = 'd'
	stepDuplicate          stepKind = 'u'
	stepLose               stepKind = 'x'
	stepElectionTimeout    stepKind = 't'
	stepHeartbeatDue       stepKind = 'b'
	stepSyncWrite          stepKind = 's'
	stepCrash              stepKind = 'c'
	stepCrashAfterSync     stepKind = 'k'
	stepWipe               stepKind = 'w'
	stepCompact            stepKind = 'f'
	stepReplace            stepKind = 'p'
	stepRead               stepKind = 'r'
	stepGiveUp             stepKind = 'g'
	stepAddLearner         stepKind = 'l'
	stepPromote            stepKind = 'v'
	stepRemove             stepKind = 'o'
	stepTransferLeadership stepKind = 'h'
	stepAdvanceTime        stepKind = 'z'
	stepAppendFillers      stepKind = 'n'
	stepQuiesce            stepKind = 'q'
)

func messageStep(kind stepKind, key uint32) Step { return Step(fmt.Sprintf("%c%x", kind, key)) }

func machineStep(kind stepKind, machine int) Step { return Step(fmt.Sprintf("%c%d", kind, machine)) }

func operatorStep(kind stepKind, operator, machine int) Step {
	return Step(fmt.Sprintf("%c%d%d", kind, operator, machine))
}

func memberStep(kind stepKind, machine int, id string) Step {
	return Step(fmt.Sprintf("%c%d%s", kind, machine, id))
}

func giveUpStep(operator int) Step { return Step(fmt.Sprintf("%c%d", stepGiveUp, operator)) }

func advanceTimeStep(ms int) Step { return Step(fmt.Sprintf("%c%d", stepAdvanceTime, ms)) }

// ParseSchedule splits a schedule's text into steps.
func ParseSchedule(line string) []Step {
	var steps []Step
	for _, step := range strings.Fields(line) {
		steps = append(steps, Step(step))
	}
	return steps
}

// FormatSchedule returns the text of a schedule, in one line.
func FormatSchedule(steps []Step) string {
	texts := make([]string, len(steps))
	for k, step := range steps {
		texts[k] = string(step)
	}
	return strings.Join(texts, " ")
}

// messageKey returns a hash of a message. Equal messages have the same key, since it doesn't
// matter which of them a step refers to.
func messageKey(from, to string, body proto.Message) uint32 {
	hash := fnv.New32a()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		panic("modelcheck: " + err.Error())
	}
	fmt.Fprintf(hash, "%s>%s %T ", from, to, body)
	hash.Write(data)
	return hash.Sum32()
}
