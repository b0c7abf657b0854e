package modelcheck

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
)

// The configuration is a register that is replaced by compare-and-set. A
// replace that was asked for several times is one operation: it takes effect
// once at most, wherever its copies went, and is acknowledged again afterwards.
type register struct {
	edition uint64
	content string
}

type input struct {
	isRead        bool
	base, edition uint64
	content       string
}

type output struct {
	code    int32 // 0: unclear
	edition uint64
	content string
}

var registers = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, in, out any) (bool, any) {
		now, asked, answer := state.(register), in.(input), out.(output)
		next := register{asked.edition, asked.content}
		isFree := now.edition == asked.base
		switch {
		case asked.isRead:
			return answer.edition == now.edition && answer.content == now.content, now
		case answer.code == 200:
			return isFree, next
		case answer.code != 0:
			return !isFree, now
		case isFree:
			return true, next
		}
		return true, now
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// judgeMost is how long one history is judged; what takes longer is counted as unjudged.
const judgeMost = time.Second

var unjudged atomic.Int64

// judge tells what is wrong with what the operators saw; empty if nothing.
func judge(w *World) string {
	if w.Broken() != "" {
		return w.Broken()
	}
	var history []porcupine.Operation
	last := int64(w.steps) + 1
	for k := range w.operations {
		o := &w.operations[k]
		if o.isRead && o.answered == 0 {
			continue
		}
		each := porcupine.Operation{
			// An operation left unclear goes on beside its operator's next ones.
			ClientId: k, Call: int64(o.asked), Return: int64(o.answered),
			Input:  input{o.isRead, o.base, o.edition, o.content},
			Output: output{o.code, o.got, o.gotContent},
		}
		if o.answered == 0 {
			last++
			each.Return = last
		}
		history = append(history, each)
	}
	verdict := porcupine.CheckOperationsTimeout(registers, history, judgeMost)
	if verdict == porcupine.Unknown {
		unjudged.Add(1)
	}
	if verdict == porcupine.Illegal {
		var said bytes.Buffer
		for _, each := range history {
			fmt.Fprintf(&said, "\n  %d..%d %s", each.Call, each.Return, registers.DescribeOperation(each.Input, each.Output))
		}
		return "history: not linearizable:" + said.String()
	}
	return ""
}
