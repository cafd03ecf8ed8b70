// Command knownred compares a log of go test with the list of tests that are
// known to fail, and exits with status 1 if any other test failed. It is a CI
// tool and not part of the product. Begin reading at evaluate.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	listFile := flag.String("list", "KNOWN-RED.txt", "file that lists the tests known to fail")
	logFile := flag.String("log", "", "file with the output of go test")
	status := flag.Int("status", 0, "exit status of the command that wrote the log")
	flag.Parse()

	report, err := evaluateFiles(*listFile, *logFile, *status)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(report)
	if !report.passed() {
		os.Exit(1)
	}
}

func evaluateFiles(listFile, logFile string, status int) (report, error) {
	list, err := readList(listFile)
	if err != nil {
		return report{}, err
	}
	log, err := os.ReadFile(logFile)
	if err != nil {
		return report{}, fmt.Errorf("read log of go test: %w", err)
	}
	return evaluate(list, readLog(string(log)), status), nil
}
