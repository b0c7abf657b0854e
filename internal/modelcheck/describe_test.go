package modelcheck

import (
	"fmt"
	"strconv"
	"strings"
)

// describe tells what a step is about.
func (w *World) describe(step Step) string {
	if step == "" || !strings.ContainsRune("dux", rune(step[0])) {
		return ""
	}
	key, _ := strconv.ParseUint(string(step[1:]), 16, 32)
	for _, p := range w.inFlight {
		if p.key == uint32(key) {
			return fmt.Sprintf("%s to %s: %T %v", p.from, p.to, p.body, p.body)
		}
	}
	return ""
}

// summary tells how the machines stand.
func (w *World) summary() string {
	var list []string
	for _, m := range w.machines {
		if m.group == nil {
			list = append(list, m.id+" -")
			continue
		}
		g := m.group
		list = append(list, fmt.Sprintf("%s %s term %d last %d stable %d commit %d edition %d", m.id, g.Role(), g.Term(), g.LastIndex(), g.StableIndex(), g.CommitIndex(), m.state.Configuration().GetVersion()))
	}
	return strings.Join(list, " | ")
}
