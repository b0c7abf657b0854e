package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/google/subcommands"
)

type jobHandIn struct {
	nodes
	queue, name string
}

func (*jobHandIn) Name() string     { return "hand-in" }
func (*jobHandIn) Synopsis() string { return "hand in a job" }
func (*jobHandIn) Usage() string {
	return "sparnotchctl hand-in -queue QUEUE -name NAME JOB.json\n  JOB.json, - for standard input, is a text and steps, as docs/interface.md says.\n  It is sent again after any silence: the name keeps it one job.\n" + exitHelp
}
func (c *jobHandIn) SetFlags(set *flag.FlagSet) {
	c.register(set)
	set.StringVar(&c.queue, "queue", "", "the queue")
	set.StringVar(&c.name, "name", "", "the job's name, unique in the queue")
}
func (c *jobHandIn) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.queue == "" || c.name == "" || set.NArg() != 1 {
		complain("queue, name and one file are needed")
		return exitUsage
	}
	var body []byte
	var err error
	if set.Arg(0) == "-" {
		body, err = io.ReadAll(os.Stdin)
	} else {
		body, err = os.ReadFile(set.Arg(0))
	}
	if err != nil {
		complain("%v", err)
		return exitUsage
	}
	data, status := c.call("PUT", jobPath(c.queue, c.name), body)
	if status == subcommands.ExitSuccess {
		os.Stdout.Write(data)
	}
	return status
}

func jobPath(queue, name string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(name)
}

// jobCall shows or cancels one job.
type jobCall struct {
	nodes
	what        string
	queue, name string
}

func (c *jobCall) Name() string { return c.what }
func (c *jobCall) Synopsis() string {
	if c.what == "cancel" {
		return "cancel a job"
	}
	return "show a job"
}
func (c *jobCall) Usage() string {
	return fmt.Sprintf("sparnotchctl %s -queue QUEUE -name NAME\n%s", c.what, exitHelp)
}
func (c *jobCall) SetFlags(set *flag.FlagSet) {
	c.register(set)
	set.StringVar(&c.queue, "queue", "", "the queue")
	set.StringVar(&c.name, "name", "", "the job's name")
}
func (c *jobCall) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.queue == "" || c.name == "" {
		complain("queue and name are needed")
		return exitUsage
	}
	method, path := "GET", jobPath(c.queue, c.name)
	if c.what == "cancel" {
		method, path = "POST", path+"/cancel"
	}
	data, status := c.call(method, path, nil)
	if status == subcommands.ExitSuccess {
		os.Stdout.Write(data)
	}
	return status
}

type jobList struct {
	nodes
	queue, after string
	most         int
}

func (*jobList) Name() string     { return "jobs" }
func (*jobList) Synopsis() string { return "list a queue's live and kept jobs, by name" }
func (*jobList) Usage() string {
	return "sparnotchctl jobs -queue QUEUE [-after NAME] [-most 100]\n  `next` in the answer is the -after of the next page.\n" + exitHelp
}
func (c *jobList) SetFlags(set *flag.FlagSet) {
	c.register(set)
	set.StringVar(&c.queue, "queue", "", "the queue")
	set.StringVar(&c.after, "after", "", "only names after this one")
	set.IntVar(&c.most, "most", 100, "at most so many, up to 1000")
}
func (c *jobList) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.queue == "" {
		complain("queue is needed")
		return exitUsage
	}
	data, status := c.call("GET", fmt.Sprintf("/v1/queues/%s/jobs?most=%d&after=%s", url.PathEscape(c.queue), c.most, url.QueryEscape(c.after)), nil)
	if status == subcommands.ExitSuccess {
		os.Stdout.Write(data)
	}
	return status
}
