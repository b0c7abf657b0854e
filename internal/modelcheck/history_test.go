package modelcheck

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
)

// configurationRegister is the sequential model of the configuration: a register with
// compare-and-set. A replace and all its retries count as one operation, which takes effect at
// most once; retries after that are acknowledged too.
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
	code    int32 // 0: unknown
	version uint64
	content string
}

var registerModel = porcupine.Model{
	Init: func() any { return configurationRegister{} },
	Step: func(state, in, out any) (bool, any) {
		current, request, result := state.(configurationRegister), in.(input), out.(output)
		next := configurationRegister{request.version, request.content}
		matches := current.version == request.base
		switch {
		case request.isRead:
			return result.version == current.version && result.content == current.content, current
		case result.code == http.StatusOK:
			return matches, next
		case result.code != 0:
			return !matches, current
		case matches:
			return true, next
		}
		return true, current
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// historyTimeout limits the check of one history. Histories whose check takes longer are counted
// in undecidedHistories, and are no violations.
const historyTimeout = time.Second

var undecidedHistories atomic.Int64

// checkHistory returns a description of the world's violation, or, if there is none, of a
// history of operations that isn't linearizable. It returns "" if it finds neither.
func checkHistory(w *World) string {
	if w.Violation() != "" {
		return w.Violation()
	}
	var history []porcupine.Operation
	last := int64(w.eventCount) + 1
	for k := range w.operations {
		o := &w.operations[k]
		if o.isRead && o.returnedAt == 0 {
			continue
		}
		recorded := porcupine.Operation{
			// Each operation counts as a client of its own, since an abandoned operation may take
			// effect while its operator's later operations are in progress.
			ClientId: k, Call: int64(o.invokedAt), Return: int64(o.returnedAt),
			Input:  input{o.isRead, o.baseVersion, o.version, o.content},
			Output: output{o.code, o.readVersion, o.readContent},
		}
		if o.returnedAt == 0 {
			last++
			recorded.Return = last
		}
		history = append(history, recorded)
	}
	verdict := porcupine.CheckOperationsTimeout(registerModel, history, historyTimeout)
	if verdict == porcupine.Unknown {
		undecidedHistories.Add(1)
	}
	if verdict == porcupine.Illegal {
		var description bytes.Buffer
		for _, operation := range history {
			fmt.Fprintf(&description, "\n  %d..%d %s", operation.Call, operation.Return, registerModel.DescribeOperation(operation.Input, operation.Output))
		}
		return "history: not linearizable:" + description.String()
	}
	return ""
}
