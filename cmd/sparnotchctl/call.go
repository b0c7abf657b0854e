package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/schema"
)

// Exit codes.
const (
	exitFailed     = subcommands.ExitFailure // 1: no answer, or an unexpected one
	exitUsage      = subcommands.ExitStatus(2)
	exitTurnedAway = subcommands.ExitStatus(3)
	exitDiffers    = subcommands.ExitStatus(4)
)

const exitHelp = "  Exit codes: 0 done, 1 no answer, 2 bad flags, 3 turned away, 4 differs.\n"

// nodes is the flag that all commands share.
type nodes struct {
	list string
	span time.Duration
}

func (n *nodes) register(set *flag.FlagSet) {
	set.StringVar(&n.list, "nodes", os.Getenv("SPARNOTCH_NODES"), "outer addresses (IP:port), joined by commas; the first that answers is used (default: $SPARNOTCH_NODES)")
	set.DurationVar(&n.span, "span", 15*time.Second, "how long to try")
}

func complain(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "sparnotchctl: "+format+"\n", args...)
}

// once makes one call to one node.
func once(span time.Duration, method, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Sparnotch-Client", "sparnotchctl")
	client := &http.Client{Timeout: span}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	return response.StatusCode, data, err
}

// call tries the nodes in turn until one gives a final answer. Whatever sparnotchctl
// sends may be sent again: hand-ins, cancels and tables are known by name or
// generation.
func (n *nodes) call(method, path string, body []byte) ([]byte, subcommands.ExitStatus) {
	var addresses []string
	for _, address := range strings.Split(n.list, ",") {
		if address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		complain("nodes: at least one address is needed (-nodes or $SPARNOTCH_NODES)")
		return nil, exitUsage
	}
	last := "nobody answered"
	for deadline, k := time.Now().Add(n.span), 0; time.Now().Before(deadline); k++ {
		address := addresses[k%len(addresses)]
		code, data, err := once(min(n.span, 6*time.Second), method, address, path, body)
		switch {
		case err != nil:
			last = err.Error()
		case code < 300:
			return data, subcommands.ExitSuccess
		case code >= 500 || code == http.StatusTooManyRequests:
			last = fmt.Sprintf("%s answers %d: %s", address, code, strings.TrimSpace(string(data)))
		default:
			explain(code, data)
			return data, exitTurnedAway
		}
		if k%len(addresses) == len(addresses)-1 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	complain("%s", last)
	return nil, exitFailed
}

func explain(code int, data []byte) {
	fault := &schema.Error{}
	if json.Unmarshal(data, fault) != nil || fault.Code == "" {
		complain("turned away (%d): %s", code, strings.TrimSpace(string(data)))
		return
	}
	text := fmt.Sprintf("turned away (%d, %s): %s", code, fault.Code, fault.Message)
	if fault.Field != "" {
		text += " [" + fault.Field + "]"
	}
	if code == http.StatusPreconditionFailed {
		text += fmt.Sprintf(" (yours was built on generation %d, the current one is %d)", fault.Given, fault.Current)
	}
	complain("%s", text)
}
