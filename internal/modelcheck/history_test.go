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
type configurationRegister struct {
	version uint64
	content string
}

type input struct {
	isRead        bool
	base, version uint64
	content       string
}

type output struct {
	code    int32 // 0: unclear
	version uint64
	content string
}

var registerModel = porcupine.Model{
	Init: func() any { return configurationRegister{} },
	Step: func(state, in, out any) (bool, any) {
		now, asked, answer := state.(configurationRegister), in.(input), out.(output)
		next := configurationRegister{asked.version, asked.content}
		isFree := now.version == asked.base
		switch {
		case asked.isRead:
			return answer.version == now.version && answer.content == now.content, now
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

// historyTimeout is how long one history is judged; what takes longer is counted as unjudged.
const historyTimeout = time.Second

var undecidedHistories atomic.Int64

// checkHistory tells what is wrong with what the operators saw; empty if nothing.
func checkHistory(w *World) string {
	if w.Violation() != "" {
		return w.Violation()
	}
	var history []porcupine.Operation
	last := int64(w.events) + 1
	for k := range w.operations {
		o := &w.operations[k]
		if o.isRead && o.returnedAt == 0 {
			continue
		}
		each := porcupine.Operation{
			// An operation left unclear goes on beside its operator's next ones.
			ClientId: k, Call: int64(o.invokedAt), Return: int64(o.returnedAt),
			Input:  input{o.isRead, o.baseVersion, o.version, o.content},
			Output: output{o.code, o.readVersion, o.readContent},
		}
		if o.returnedAt == 0 {
			last++
			each.Return = last
		}
		history = append(history, each)
	}
	verdict := porcupine.CheckOperationsTimeout(registerModel, history, historyTimeout)
	if verdict == porcupine.Unknown {
		undecidedHistories.Add(1)
	}
	if verdict == porcupine.Illegal {
		var said bytes.Buffer
		for _, each := range history {
			fmt.Fprintf(&said, "\n  %d..%d %s", each.Call, each.Return, registerModel.DescribeOperation(each.Input, each.Output))
		}
		return "history: not linearizable:" + said.String()
	}
	return ""
}
