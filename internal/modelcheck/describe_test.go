package modelcheck

import (
	"fmt"
	"strconv"
	"strings"
)

// describe returns the text of the message that a step delivers, duplicates or loses; "" for
// other steps.
func (w *World) describe(step Step) string {
	if step == "" || !strings.ContainsRune("dux", rune(step[0])) {
		return ""
	}
	key, _ := strconv.ParseUint(string(step[1:]), 16, 32)
	for _, message := range w.inFlight {
		if message.key == uint32(key) {
			return fmt.Sprintf("%s to %s: %T %v", message.from, message.to, message.body, message.body)
		}
	}
	return ""
}

// summary returns the state of each machine in one line.
func (w *World) summary() string {
	var machines []string
	for _, m := range w.machines {
		if m.group == nil {
			machines = append(machines, m.id+" -")
			continue
		}
		g := m.group
		machines = append(machines, fmt.Sprintf("%s %s term %d last %d stable %d commit %d version %d",
			m.id, g.Role(), g.Term(), g.LastIndex(), g.StableIndex(), g.CommitIndex(), m.state.Configuration().GetVersion()))
	}
	return strings.Join(machines, " | ")
}
