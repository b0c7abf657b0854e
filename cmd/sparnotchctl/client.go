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
	exitFailed   = subcommands.ExitFailure // 1: no answer, or an unexpected one
	exitUsage    = subcommands.ExitStatus(2)
	exitRejected = subcommands.ExitStatus(3)
	exitDiffers  = subcommands.ExitStatus(4)
)

const exitHelp = "  Exit codes: 0 done, 1 no answer, 2 bad flags, 3 rejected, 4 differs.\n"

const (
	maxResponseBytes  = 64 << 20
	maxRequestTimeout = 6 * time.Second        // of one request to one node
	retryDelay        = 200 * time.Millisecond // after all nodes were tried
)

// nodeClient calls the nodes that the flags name; commands that call nodes embed it.
type nodeClient struct {
	addresses string
	timeout   time.Duration
	key       string // of a tenant, which the calls carry; empty: they carry none
}

func (n *nodeClient) register(set *flag.FlagSet) {
	set.StringVar(&n.addresses, "nodes", os.Getenv("SPARNOTCH_NODES"), "HTTP addresses (IP:port), joined by commas; the first that answers is used (default: $SPARNOTCH_NODES)")
	set.DurationVar(&n.timeout, "span", 15*time.Second, "how long to try")
}

// registerForJobs is register for a command whose calls need a tenant's key.
func (n *nodeClient) registerForJobs(set *flag.FlagSet) {
	n.register(set)
	n.key = os.Getenv("SPARNOTCH_KEY")
}

// printError prints an error of this program.
func printError(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "sparnotchctl: "+format+"\n", args...)
}

// sendOnce makes one request to one node, with a tenant's key unless it is empty.
func sendOnce(timeout time.Duration, key, method, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Sparnotch-Client", "sparnotchctl")
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	client := &http.Client{Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, data, err
}

// call tries the nodes in turn until one gives a final answer. All requests are
// idempotent: jobs and cancels go by name, configurations by generation.
func (n *nodeClient) call(method, path string, body []byte) ([]byte, subcommands.ExitStatus) {
	var addresses []string
	for _, address := range strings.Split(n.addresses, ",") {
		if address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		printError("nodes: at least one address is needed (-nodes or $SPARNOTCH_NODES)")
		return nil, exitUsage
	}
	lastError := "no node has answered"
	for deadline, attempt := time.Now().Add(n.timeout), 0; time.Now().Before(deadline); attempt++ {
		address := addresses[attempt%len(addresses)]
		code, data, err := sendOnce(min(n.timeout, maxRequestTimeout), n.key, method, address, path, body)
		switch {
		case err != nil:
			lastError = err.Error()
		case code < 300:
			return data, subcommands.ExitSuccess
		case code >= 500 || code == http.StatusTooManyRequests:
			lastError = fmt.Sprintf("%s answers %d: %s", address, code, strings.TrimSpace(string(data)))
		default:
			printRejection(code, data)
			return data, exitRejected
		}
		if attempt%len(addresses) == len(addresses)-1 {
			time.Sleep(retryDelay)
		}
	}
	printError("%s", lastError)
	return nil, exitFailed
}

// printAnswer calls the nodes and prints the final answer as it came, unless it is a
// rejection.
func (n *nodeClient) printAnswer(method, path string, body []byte) subcommands.ExitStatus {
	data, status := n.call(method, path, body)
	if status == subcommands.ExitSuccess {
		os.Stdout.Write(data)
	}
	return status
}

// printRejection prints why a request was rejected.
func printRejection(code int, data []byte) {
	fault := &schema.Error{}
	if json.Unmarshal(data, fault) != nil || fault.Code == "" {
		printError("rejected (%d): %s", code, strings.TrimSpace(string(data)))
		return
	}
	text := fmt.Sprintf("rejected (%d, %s): %s", code, fault.Code, fault.Message)
	if fault.Field != "" {
		text += " [" + fault.Field + "]"
	}
	if code == http.StatusPreconditionFailed {
		text += fmt.Sprintf(" (yours was built on generation %d, the current one is %d)", fault.Given, fault.Current)
	}
	printError("%s", text)
}
